// A batching model engine on a manual clock, after the platform's page on servers: prompts are read in chunks between
// the steps that give each running request one token; memory is shared by running requests and kept parts.

import type { Prompt } from '@catkinwheel/coordination/routing';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { LRUCache } from 'lru-cache';
import type { EngineTiming } from '@catkinwheel/platform/site';

/** Pause of an engine without work; it looks again when something comes. */
const idleStep: Milliseconds = 5;

/** How a run ended. */
export type RunEnd = 'whole' | 'lost';

/** A request at an engine. */
export interface Run {
  readonly prompt: Prompt;
  /** Tokens that it will generate. */
  readonly output: number;
  readonly tokensPerEvent: number;
  readonly onBegin: () => void;
  readonly onEvent: () => void;
  readonly onEnd: (end: RunEnd) => void;
}

interface Running {
  readonly run: Run;
  unread: number;
  generated: number;
  /** When its first token may come. */
  firstAt: Milliseconds;
}

/** One emulated server. */
export class Engine {
  /** Tokens read, and those of shared parts that some engine had read before. */
  read = 0;
  readAgain = 0;
  readonly #kept: LRUCache<string, number>;
  readonly #waiting: Run[] = [];
  readonly #running: Running[] = [];
  #isUp = true;

  private constructor(
    readonly id: string,
    private readonly clock: Clock,
    private readonly timing: EngineTiming,
    private readonly everRead: Set<string>,
  ) {
    this.#kept = new LRUCache({ maxSize: timing.kvTokens, sizeCalculation: (tokens) => tokens });
  }

  /** `everRead` holds the parts that any engine has read. */
  static create(id: string, clock: Clock, timing: EngineTiming, everRead: Set<string>): Engine {
    return new Engine(id, clock, timing, everRead);
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /** Takes a request. False if the engine is down. */
  submit(run: Run): boolean {
    if (!this.#isUp) return false;
    this.#waiting.push(run);
    return true;
  }

  /** Stops work on a request whose caller has left. */
  cancel(run: Run): void {
    const waiting = this.#waiting.indexOf(run);
    if (waiting >= 0) this.#waiting.splice(waiting, 1);
    const running = this.#running.findIndex((other) => other.run === run);
    if (running >= 0) this.#running.splice(running, 1);
  }

  /** Loses everything. */
  crash(): void {
    this.#isUp = false;
    this.#kept.clear();
    const lost = [...this.#waiting, ...this.#running.map(({ run }) => run)];
    this.#waiting.length = 0;
    this.#running.length = 0;
    for (const run of lost) run.onEnd('lost');
  }

  restart(): void {
    this.#isUp = true;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#admit();
      if (this.#running.length === 0) await this.clock.sleep(idleStep, signal);
      else await this.#step(signal);
    }
  }

  /** One step: a chunk is read, and each request that has been read gets a token at its end. */
  async #step(signal: AbortSignal): Promise<void> {
    const { step, stepPerRequest, chunk, prefillRate: readRate } = this.timing;
    const reading = this.#running.find(({ unread }) => unread > 0);
    const tokens = Math.min(chunk, reading?.unread ?? 0);
    const lasts = step + stepPerRequest * this.#running.length + tokens / readRate;
    await this.clock.sleep(lasts, signal);
    if (reading !== undefined) reading.unread -= tokens;
    if (reading?.unread === 0) this.#keep(reading);
    const now = this.clock.now();
    for (const running of [...this.#running]) {
      if (running.unread > 0 || running.firstAt > now) continue;
      running.generated += 1;
      const { run } = running;
      if ((running.generated - 1) % run.tokensPerEvent === 0) run.onEvent();
      if (running.generated < run.output) continue;
      this.cancel(run);
      run.onEnd('whole');
    }
  }

  #admit(): void {
    for (;;) {
      const [next] = this.#waiting;
      if (next === undefined || this.#running.length >= this.timing.slots) return;
      const used = this.#running.reduce((sum, { run }) => sum + need(run), 0);
      if (this.#running.length > 0 && used + need(next) > this.timing.kvTokens) return;
      this.#waiting.shift();
      next.onBegin();
      const unread = this.#missing(next.prompt);
      this.read += unread;
      const firstAt = this.clock.now() + this.timing.firstTokenOverhead;
      const running: Running = { run: next, unread, generated: 0, firstAt };
      this.#running.push(running);
      if (unread === 0) this.#keep(running);
    }
  }

  #missing({ parts, promptTokens }: Prompt): number {
    let held = 0;
    for (const { id, tokens } of parts) {
      if (this.#kept.get(id) === undefined) break;
      held += tokens;
    }
    return promptTokens - held;
  }

  #keep({ run }: Running): void {
    for (const { id, tokens } of run.prompt.parts) {
      if (this.#kept.get(id) === undefined && this.everRead.has(id)) this.readAgain += tokens;
      this.everRead.add(id);
      if (tokens > 0 && tokens <= this.timing.kvTokens) this.#kept.set(id, tokens);
    }
  }
}

/** Memory that a running request needs beside shared parts, in tokens. */
function need({ prompt, output }: Run): number {
  return (prompt.parts.at(-1)?.tokens ?? 0) + output;
}
