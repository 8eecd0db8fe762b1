// The commands that read only log files: the explanation of one request and the summary of a day.

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { DaySummary } from './daySummary.js';
import { parseLine, type LogLine } from './routerLog.js';
import type { RequestExplanations } from './requestExplanation.js';
import { Timeline } from './timeline.js';

const mainPath = fileURLToPath(new URL('./main.js', import.meta.url));
const noon = Date.parse('2026-05-05T12:00:00Z');

/** Writes log lines of one run that started `started` ms after noon on a VM whose clock is off by `skew` ms. */
class LogWriter {
  readonly lines: string[] = [];

  constructor(
    private readonly router: string,
    private readonly started = 0,
    private skew = 0,
  ) {}

  /** Appends a line, logged `at` ms after noon. */
  write(at: number, event: string, fields: Readonly<Record<string, unknown>> = {}): this {
    const time = new Date(noon + at + this.skew).toISOString();
    const head = { time, router: this.router, boot: 'b1', up: at - this.started };
    this.lines.push(JSON.stringify({ ...head, event, ...fields }));
    return this;
  }

  /** Shifts the VM's clock. */
  stepClock(by: number): this {
    this.skew += by;
    return this;
  }

  parseLines(): readonly LogLine[] {
    return this.lines.flatMap((line) => parseLine(line) ?? []);
  }
}

const attempt = { server: 'i-1', predicted: 100, missing: 0, at: 4, first: 90, took: 500 };

function requestFields(
  id: string,
  changes: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  return {
    id,
    outcome: 'delivered',
    route: 'letters',
    team: 'large',
    tokens: [12_000, 480],
    took: 510,
    first: 95,
    waiting: 3,
    desired: 17,
    attempts: [{ ...attempt, result: 'delivered 200' }],
    ...changes,
  };
}

function writeLogs(t: TestContext, runs: readonly (readonly string[])[]): readonly string[] {
  const directory = mkdtempSync(join(tmpdir(), 'catkinwheel-'));
  t.after(() => {
    rmSync(directory, { recursive: true });
  });
  return runs.map((lines, index) => {
    const path = join(directory, `${index}.log`);
    writeFileSync(path, lines.join('\n'));
    return path;
  });
}

function runCli(...args: readonly string[]): {
  readonly code: number | null;
  readonly out: string;
} {
  const child = spawnSync(process.execPath, [mainPath, ...args], { encoding: 'utf8' });
  return { code: child.status, out: child.stdout + child.stderr };
}

// Sorted by wall-clock time alone, a clock that jumps by a minute would put a cause after its effect.
test('runs with wrong and jumping clocks are aligned on a common timeline', () => {
  const first = new LogWriter('r1').write(0, 'servers table', { version: 4 });
  first.write(1_000, 'servers table', { version: 5 }).stepClock(60_000);
  first.write(2_000, 'servers table', { version: 6 }).write(3_000, 'stopping');
  const second = new LogWriter('r2', -500, -40_000).write(100, 'servers table', { version: 4 });
  second.write(1_060, 'servers table', { version: 5 });
  second.write(2_040, 'servers table', { version: 6 }).write(3_100, 'server lost');
  const lines = [...first.parseLines(), ...second.parseLines()];
  const timeline = Timeline.create(lines);
  const times = new Map(lines.map((line) => [`${line.router} ${line.event}`, timeline.at(line)]));
  const difference = (times.get('r2 server lost') ?? NaN) - (times.get('r1 stopping') ?? NaN);
  // The versions reached the second router 40 and 60 ms later, which can't be distinguished from a clock offset.
  assert.ok(Math.abs(difference - 100) <= 60, `${difference} ms`);
  assert.equal(timeline.unaligned.size, 0);
});

test('a run that shares no version with others is reported as unaligned', () => {
  const first = new LogWriter('r1').write(0, 'servers table', { version: 4 });
  first.write(1_000, 'servers table', { version: 5 });
  const second = new LogWriter('r2').write(0, 'starting');
  const timeline = Timeline.create([...first.parseLines(), ...second.parseLines()]);
  assert.deepEqual([...timeline.unaligned], ['r2 b1']);
});

test('a line may have a prefix of the log collector; other and truncated text is not a line', () => {
  const [line = ''] = new LogWriter('r1').write(0, 'starting').lines;
  assert.equal(parseLine(`  12.5 r1 ${line}`)?.event, 'starting');
  assert.equal(parseLine('Killed'), undefined);
  assert.equal(parseLine(line.slice(0, -4)), undefined);
});

test('explain reports the cause and the attempts of other requests at the same server', (t) => {
  const first = new LogWriter('r1').write(10, 'starting');
  const cutAttempt = { ...attempt, result: 'cut: other side closed' };
  const failedFields = {
    outcome: 'failed',
    reason: 'cut',
    verdict: 'mayHaveRun',
    attempts: [cutAttempt],
  };
  first.write(5_000, 'request', requestFields('aa', failedFields));
  const second = new LogWriter('r2').write(5_100, 'server lost', { server: 'i-1' });
  second.write(5_200, 'server lost', { server: 'i-2' });
  const unsentAttempt = { ...attempt, result: 'unsent: connect ECONNREFUSED' };
  second.write(5_300, 'request', requestFields('bb', { attempts: [unsentAttempt] }));
  const [one = '', two = ''] = writeLogs(t, [first.lines, second.lines]);
  const { code, out } = runCli('explain', 'aa', one, two, '--json');
  assert.equal(code, 0, out);
  const { stories } = JSON.parse(out) as RequestExplanations;
  assert.equal(stories.length, 1);
  const [story] = stories;
  assert.match(story?.cause ?? '', /i-1 .*other side closed/);
  assert.deepEqual(story?.neighbours, [
    { server: 'i-1', results: { 'unsent: connect ECONNREFUSED': 1 } },
  ]);
  assert.deepEqual(
    story.events.map(({ event, fields }) => [event, fields.server ?? null]),
    [
      ['starting', null],
      ['server lost', 'i-1'],
    ],
  );
  const text = runCli('explain', 'aa', one, two);
  assert.match(text.out, /\+4 ms +sent to server i-1/);
  assert.match(text.out, /failed: cut, mayHaveRun/);
});

test('explain of a request without a line gives possible reasons and exit code 1', (t) => {
  const lines = new LogWriter('r1').write(0, 'lines dropped', { lines: 12 }).lines;
  const { code, out } = runCli('explain', 'zz', ...writeLogs(t, [lines]));
  assert.equal(code, 1);
  assert.match(out, /12 that were dropped/);
  assert.equal(runCli('explain', 'zz', 'no-such-file.log').code, 1);
});

test('logs reports outcomes by team, servers detected as faulty and store outages', (t) => {
  const first = new LogWriter('r1').write(0, 'starting');
  first.write(1_000, 'store is lost', { table: 'servers' });
  first.write(2_000, 'request', requestFields('aa'));
  const refusedFields = { outcome: 'refused', reason: 'overload', attempts: [] };
  first.write(2_500, 'request', requestFields('bb', refusedFields));
  first.write(3_500, 'store is back', { table: 'servers' });
  first.write(4_000, 'server faulty', { server: 'i-1', failureRate: 0.4 });
  const { code, out } = runCli('logs', ...writeLogs(t, [[...first.lines, 'Killed']]), '--json');
  assert.equal(code, 0, out);
  const summary = JSON.parse(out) as DaySummary;
  assert.deepEqual(summary.outcomes, { delivered: 1, refused: 1 });
  assert.deepEqual(summary.reasons, { 'refused overload': 1 });
  assert.equal(summary.teams.large?.tokensAsked, 24_000);
  assert.equal(summary.teams.large.tokensDelivered, 12_000);
  assert.deepEqual(summary.gaps, [
    { router: 'r1', dependency: 'store, servers', from: 1, to: 3.5 },
  ]);
  assert.ok(summary.notices.some(({ what }) => what === 'server faulty: i-1'));
  assert.equal(summary.unreadable, 1);
  assert.equal(summary.first.letters?.median, 95);
});
