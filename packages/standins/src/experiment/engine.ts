// A batching model engine on a manual clock, after the platform's page on servers: each step prefills one chunk of a
// prompt and generates one token for each running request that is prefilled. The limit of tokens in memory applies to
// the running requests and to the prefix cache separately.

import type { Prompt } from '@catkinwheel/coordination/routing';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { LRUCache } from 'lru-cache';
import type { EngineTiming } from '@catkinwheel/platform/site';

/** Interval at which an idle engine checks its queue. */
const idleStep: Milliseconds = 5;

export type EngineOutcome = 'completed' | 'lost';

/** A request at an engine, queued or running. */
export interface EngineRequest {
  readonly prompt: Prompt;
  /** Tokens to generate. */
  readonly outputTokens: number;
  readonly tokensPerEvent: number;
  readonly onStart: () => void;
  readonly onEvent: () => void;
  readonly onEnd: (end: EngineOutcome) => void;
}

interface RunningRequest {
  readonly request: EngineRequest;
  pendingPrefillTokens: number;
  generatedTokens: number;
  /** Earliest time of the first token. */
  firstTokenAt: Milliseconds;
}

/** One emulated server. */
export class Engine {
  /** Prompt tokens prefilled. */
  prefillTokens = 0;
  /** Prefilled tokens of prompt parts that some engine had prefilled before. */
  repeatedPrefillTokens = 0;
  readonly #prefixCache: LRUCache<string, number>;
  readonly #queue: EngineRequest[] = [];
  readonly #running: RunningRequest[] = [];
  #isUp = true;

  private constructor(
    readonly id: string,
    private readonly clock: Clock,
    private readonly timing: EngineTiming,
    private readonly everPrefilled: Set<string>,
  ) {
    this.#prefixCache = new LRUCache({
      maxSize: timing.kvTokens,
      sizeCalculation: (tokens) => tokens,
    });
  }

  /** `everPrefilled` holds the ids of the prompt parts that any engine has prefilled. All engines share it. */
  static create(
    id: string,
    clock: Clock,
    timing: EngineTiming,
    everPrefilled: Set<string>,
  ): Engine {
    return new Engine(id, clock, timing, everPrefilled);
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /** Queues a request. False if the engine is down. */
  submit(request: EngineRequest): boolean {
    if (!this.#isUp) return false;
    this.#queue.push(request);
    return true;
  }

  /** Removes a request from the queue or the batch, without calling `onEnd`. */
  cancel(request: EngineRequest): void {
    const queueIndex = this.#queue.indexOf(request);
    if (queueIndex >= 0) this.#queue.splice(queueIndex, 1);
    const runningIndex = this.#running.findIndex((other) => other.request === request);
    if (runningIndex >= 0) this.#running.splice(runningIndex, 1);
  }

  /** Ends all requests as lost and clears the prefix cache. */
  crash(): void {
    this.#isUp = false;
    this.#prefixCache.clear();
    const lost = [...this.#queue, ...this.#running.map(({ request }) => request)];
    this.#queue.length = 0;
    this.#running.length = 0;
    for (const request of lost) request.onEnd('lost');
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

  /** Prefills one chunk of the first prompt that needs it, then generates a token for each prefilled request. */
  async #step(signal: AbortSignal): Promise<void> {
    const { step, stepPerRequest, chunk, prefillRate } = this.timing;
    const prefilling = this.#running.find(({ pendingPrefillTokens }) => pendingPrefillTokens > 0);
    const tokens = Math.min(chunk, prefilling?.pendingPrefillTokens ?? 0);
    const duration = step + stepPerRequest * this.#running.length + tokens / prefillRate;
    await this.clock.sleep(duration, signal);
    if (prefilling !== undefined) prefilling.pendingPrefillTokens -= tokens;
    if (prefilling?.pendingPrefillTokens === 0) this.#cacheParts(prefilling);
    const now = this.clock.now();
    for (const running of [...this.#running]) {
      if (running.pendingPrefillTokens > 0 || running.firstTokenAt > now) continue;
      running.generatedTokens += 1;
      const { request } = running;
      if ((running.generatedTokens - 1) % request.tokensPerEvent === 0) request.onEvent();
      if (running.generatedTokens < request.outputTokens) continue;
      this.cancel(request);
      request.onEnd('completed');
    }
  }

  #admit(): void {
    for (;;) {
      const [next] = this.#queue;
      if (next === undefined || this.#running.length >= this.timing.slots) return;
      const usedMemory = this.#running.reduce(
        (sum, { request }) => sum + requiredMemory(request),
        0,
      );
      if (this.#running.length > 0 && usedMemory + requiredMemory(next) > this.timing.kvTokens)
        return;
      this.#queue.shift();
      next.onStart();
      const uncachedTokens = this.#uncachedTokens(next.prompt);
      this.prefillTokens += uncachedTokens;
      const firstTokenAt = this.clock.now() + this.timing.firstTokenOverhead;
      const running: RunningRequest = {
        request: next,
        pendingPrefillTokens: uncachedTokens,
        generatedTokens: 0,
        firstTokenAt,
      };
      this.#running.push(running);
      if (uncachedTokens === 0) this.#cacheParts(running);
    }
  }

  #uncachedTokens({ parts, promptTokens }: Prompt): number {
    let cachedTokens = 0;
    for (const { id, tokens } of parts) {
      if (this.#prefixCache.get(id) === undefined) break;
      cachedTokens += tokens;
    }
    return promptTokens - cachedTokens;
  }

  #cacheParts({ request }: RunningRequest): void {
    for (const { id, tokens } of request.prompt.parts) {
      if (this.#prefixCache.get(id) === undefined && this.everPrefilled.has(id))
        this.repeatedPrefillTokens += tokens;
      this.everPrefilled.add(id);
      if (tokens > 0 && tokens <= this.timing.kvTokens) this.#prefixCache.set(id, tokens);
    }
  }
}

/** Memory of a running request in tokens: its unshared last prompt part and its output. */
function requiredMemory({ prompt, outputTokens: output }: EngineRequest): number {
  return (prompt.parts.at(-1)?.tokens ?? 0) + output;
}
