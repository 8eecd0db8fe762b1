// Parses log files collected from the standard output of routers. A log collector may prefix lines with its own
// text, and a file may end in the middle of a line.

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Milliseconds } from '@catkinwheel/state';
import {
  Codec,
  array,
  exactly,
  number,
  optional,
  record,
  string,
  unknown,
  type GetType,
} from 'purify-ts';

/** One line of one run of a router. */
export interface LogLine {
  readonly router: string;
  /** Identifies the run among those of the router. */
  readonly boot: string;
  /** Time of day by the VM's clock, which may be wrong and may jump. */
  readonly time: Milliseconds;
  /** Time since the run started; monotonic. */
  readonly up: Milliseconds;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A log file could not be read, or not to its end. */
export class LogFileError extends Error {}

const commonFieldsCodec = Codec.interface({
  time: string,
  router: string,
  boot: string,
  up: number,
  event: string,
});

const attemptCodec = Codec.interface({
  server: string,
  predicted: number,
  missing: number,
  at: number,
  first: optional(number),
  took: number,
  result: string,
});

const basisCodec = Codec.interface({
  /** Routers of earlier versions log none. */
  standing: optional(number),
  server: string,
  start: number,
  limit: number,
  received: number,
});

const requestCodec = Codec.interface({
  id: optional(string),
  outcome: exactly('delivered', 'refused', 'rejected', 'failed', 'left'),
  reason: optional(string),
  verdict: optional(string),
  status: optional(number),
  route: optional(string),
  team: optional(string),
  tokens: optional(array(number)),
  timeLeft: optional(number),
  first: optional(number),
  took: number,
  desired: optional(number),
  waiting: number,
  late: optional(number),
  reportAge: optional(number),
  basis: optional(basisCodec),
  attempts: array(attemptCodec),
});

/** The record that a router logs at the end of a request. Times in milliseconds. */
export type RequestRecord = GetType<typeof requestCodec>;

/** Counts of lines that are missing from what was read. */
export interface SkippedLines {
  /** Lines that are not a router's or are incomplete. */
  readonly unreadable: number;
  /** Lines that routers dropped under load. */
  readonly dropped: number;
}

/** Calls `onLine` with every line of the files and the request that it records, if any. Throws `LogFileError`. */
export async function readLogs(
  paths: readonly string[],
  onLine: (line: LogLine, request: RequestRecord | undefined) => void,
): Promise<SkippedLines> {
  let unreadable = 0;
  let dropped = 0;
  for (const path of paths) {
    for await (const line of readLogFile(path)) {
      if (line === undefined) unreadable += 1;
      else onLine(line, parseRequest(line));
      if (line?.event === 'lines dropped') dropped += Number(line.fields.lines);
    }
  }
  return { unreadable, dropped };
}

/** Yields the lines of a file in order, and `undefined` for each that can't be parsed. */
async function* readLogFile(path: string): AsyncGenerator<LogLine | undefined> {
  const input = createReadStream(path, 'utf8');
  try {
    for await (const text of createInterface({ input, crlfDelay: Infinity }))
      if (text.trim() !== '') yield parseLine(text);
  } catch (error) {
    throw new LogFileError(error instanceof Error ? error.message : String(error));
  } finally {
    input.destroy();
  }
}

/** Parses a line of a router within `text`; undefined if there is none. */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let json: unknown;
  try {
    json = JSON.parse(text.slice(start));
  } catch {
    // The caller counts unreadable lines.
    return undefined;
  }
  const common = commonFieldsCodec.decode(json).toMaybe().extract();
  const all = record(string, unknown).decode(json).toMaybe().extract();
  if (common === undefined || all === undefined) return undefined;
  const time = Date.parse(common.time);
  if (Number.isNaN(time)) return undefined;
  return { ...common, time, fields: all };
}

/** The request that a line records; undefined for other events and invalid records. */
function parseRequest(line: LogLine): RequestRecord | undefined {
  if (line.event !== 'request') return undefined;
  return requestCodec.decode(line.fields).toMaybe().extract();
}
