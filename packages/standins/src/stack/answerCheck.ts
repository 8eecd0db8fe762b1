// What is wrong with the answers that a caller got, judged by what the servers ran and sent. An answer that looks whole
// has to be that of one server, and a promise that a request has not run has to be true.

import type { Answer } from './callerConnection.js';
import { streamLength, type StackServer } from './server.js';

/** Only charges may run at most once, and only letters may be resumed at another server. */
export type RequestKind = 'reads' | 'charges' | 'letters';

/** A request and what came for it. */
export interface Asked {
  readonly id: string;
  readonly kind: RequestKind;
  readonly answer: Answer;
  /** Bytes behind the answer. */
  readonly excess: string;
}

type Whole = Extract<Answer, { readonly kind: 'whole' }>;

/** Statuses that promise that the request has not run and will not. */
const promises: readonly number[] = [408, 421, 429, 503];
/** Characters of a body that are shown, from its end. */
const shown = 200;
const answerStart = 'HTTP/1.1 ';
/** A text that a server's own bodies contain, with the id of the request. */
const owner = / (?:ran|failed) (\S+)$/;

/** What is wrong with an answer; empty if nothing is. */
export function* answerFaults(
  asked: Asked,
  servers: readonly StackServer[],
): Generator<string, void, void> {
  const { id, kind, answer, excess } = asked;
  switch (answer.kind) {
    case 'unreadable':
      yield `${id} got bytes that are no answer: ${JSON.stringify(answer.bytes.slice(-shown))}`;
      return;
    case 'silent':
      yield `${id} got no end of its answer: ${JSON.stringify(excess.slice(-shown))}`;
      return;
    case 'broken':
      if (!answerStart.startsWith(answer.bytes.slice(0, answerStart.length)))
        yield `${id} got bytes that are no answer: ${JSON.stringify(answer.bytes.slice(-shown))}`;
      if (kind === 'letters' && !areEventsInOrder(answer.bytes))
        yield `${id} got a broken stream that is not in order: ${JSON.stringify(answer.bytes.slice(-shown))}`;
      return;
    case 'whole':
      if (excess !== '')
        yield `${id} got bytes behind its answer: ${JSON.stringify(excess.slice(-shown))}`;
      yield* wholeFaults(id, kind, answer, servers);
  }
}

function* wholeFaults(
  id: string,
  kind: RequestKind,
  answer: Whole,
  servers: readonly StackServer[],
): Generator<string, void, void> {
  const { status, headers, body } = answer;
  const text = JSON.stringify({ status, headers, length: body.length, body: body.slice(-shown) });
  const namedId = headers['request-id'];
  const named = owner.exec(body)?.[1];
  if ((namedId ?? id) !== id || (named ?? id) !== id)
    yield `${id} got the answer of another request: ${text}`;
  const isSuccess = status >= 200 && status < 300;
  const seal = headers['response-seal'];
  if (isSuccess && (seal === undefined || namedId === undefined))
    yield `${id} got a success without seal or id: ${text}`;
  if (headers['content-encoding'] !== undefined) yield `${id} got an encoded body: ${text}`;
  if (seal === undefined) {
    const isOwn = !isSuccess && (body.startsWith('{"error":') || isOwnToHead(answer));
    if (!isOwn && !hasGiven(servers, id, answer))
      yield `${id} got what is neither a server's answer nor the router's: ${text}`;
    return;
  }
  const server = servers.find((one) => `seal-${one.id}` === seal);
  if (server === undefined) {
    yield `${id} got the seal of no server: ${text}`;
    return;
  }
  const isResumed = kind === 'letters' && status === 200 && body === allEvents;
  const isOwn = isResumed ? server.ran.includes(id) : hasGiven([server], id, answer);
  if (!isOwn) yield `${id} got what ${server.id} has not sent whole: ${text}`;
}

/** Whether the answer may be a router's own to HEAD; only to HEAD is one whole that declares a body and has none. */
function isOwnToHead({ headers, body }: Whole): boolean {
  const declaresBody = Number(headers['content-length']) > 0;
  return body === '' && declaresBody && headers['content-type'] === 'application/json';
}

/** What a caller was told about a request, and where. */
export interface Told extends Pick<Asked, 'id' | 'kind'> {
  readonly status: number | undefined;
  readonly place?: string;
}

/** What is wrong with the runs of requests, for all that were asked. */
export function* runFaults(
  all: Iterable<Told>,
  servers: readonly StackServer[],
): Generator<string, void, void> {
  const runs = new Map<string, string[]>();
  for (const server of servers)
    for (const id of server.ran) runs.set(id, [...(runs.get(id) ?? []), server.id]);
  for (const { id, kind, status, place } of all) {
    const at = runs.get(id) ?? [];
    const told = place === undefined ? '' : ` (${place})`;
    if (kind === 'charges' && at.length > 1) yield `${id} ran at ${at.join()}${told}`;
    if (status !== undefined && promises.includes(status) && at.length > 0)
      yield `${id} got ${status}, but ran at ${at.join()}${told}`;
  }
}

function hasGiven(servers: readonly StackServer[], id: string, { status, body }: Whole): boolean {
  return servers.some(({ given }) =>
    given.some((one) => one.id === id && one.status === status && one.body === body),
  );
}

const allEvents = Array.from(
  { length: streamLength },
  (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`,
).join('');

/** Whether the whole events in the bytes are the first ones of a stream, each once. */
function areEventsInOrder(bytes: string): boolean {
  const events = [...bytes.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event));
  return events.every((event, index) => event === index + 1);
}
