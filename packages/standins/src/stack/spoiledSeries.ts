// Series of answers that a server spoils, drawn from random numbers. A fault that leaves bytes on a connection shows
// only if the next requests on it come soon, and often only if the next answer is spoiled too.

import { oneOf, type Random } from '../random.js';
import { textOf, type Behaviour, type ExtraBytes } from './behaviour.js';
import type { StackServer } from './server.js';

/** Most answers of a series. */
const longest = 12;
/** Half of such a body is more than a router holds until it is whole, and so is a part that comes so late. */
const longBody = 256 * 1024;
const slowPart = 700;
/** Pause between two events with which a stream lasts for half a second. */
const slowEvent = 100;

const contents: readonly ExtraBytes['content'][] = ['answer', 'error', 'refusal', 'noise'];
const times: readonly ExtraBytes['when'][] = ['behind', 'late', 'withNext'];
const extras: readonly ExtraBytes[] = times.flatMap((when) =>
  contents.flatMap((content) =>
    // Bytes of no protocol never name a request.
    (content === 'noise' ? [false] : [true, false]).map(
      (hasId) => ({ kind: 'extra', content, hasId, when }) as const,
    ),
  ),
);

/** All but answers without end, which have tests of their own. */
const behaviours: readonly Behaviour[] = [
  'answersInParts',
  'refuses',
  'errors',
  'errorsUnsigned',
  'errorsWithoutId',
  'errorsAsFull',
  'noContent',
  'notModified',
  'encodes',
  'resets',
  'cuts',
  'confuses',
  'hangs',
  'resetsUnframed',
  'closesUnframed',
  'resetsChunked',
  'endsInLength',
  'endsInChunk',
  'endsInChunkClosing',
  'endsBetweenChunks',
  'endsBetweenChunksClosing',
  ...extras,
];

type Pace = Pick<StackServer, 'padding' | 'partPause' | 'eventPause'>;

const usual: Pace = { padding: 0, partPause: 20, eventPause: 5 };
/** Length and speed of all answers during a series. */
const paces = {
  usual,
  long: { ...usual, padding: longBody },
  'slow in parts': { ...usual, partPause: slowPart },
  'slow in events': { ...usual, eventPause: slowEvent },
} as const;
/** Most often the usual one, since the others keep a server from further series while they last. */
const drawnPaces = ['usual', 'usual', 'long', 'slow in parts', 'slow in events'] as const;

/** Failures of a server's next answers. */
export class SpoiledSeries {
  private constructor(
    private readonly behaviours: readonly Behaviour[],
    private readonly pace: keyof typeof paces,
  ) {}

  /** Two behaviours in a random order, so that a series has the same one several times in a row. */
  static draw(random: Random): SpoiledSeries {
    const pair = [oneOf(random, behaviours), oneOf(random, behaviours)];
    const length = 1 + Math.floor(random() * longest);
    const pace = oneOf(random, drawnPaces);
    const series = Array.from({ length }, () => oneOf(random, pair));
    return new SpoiledSeries(series, pace);
  }

  get text(): string {
    return `${this.behaviours.map(textOf).join(', ')} (${this.pace})`;
  }

  /** Whether the pace is to be ended after some time. */
  get hasPace(): boolean {
    return this.pace !== 'usual';
  }

  begin(server: StackServer): void {
    server.behaviours.push(...this.behaviours);
    Object.assign(server, paces[this.pace]);
  }

  endPace(server: StackServer): void {
    Object.assign(server, usual);
  }
}
