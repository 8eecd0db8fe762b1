// One answer that a model engine generates, and the connections that read it. An answer outlives
// its connection for a while, so that a caller can resume it at an offset.

import type { ServerResponse } from 'node:http';
import type { Milliseconds } from '@catkinwheel/state';
import { textOf, token, type ModelWork } from './work.js';

/** Time without a byte after which a reader gets a comment. */
const commentPeriod: Milliseconds = 500;

export interface GenerationPlan {
  readonly id: string;
  readonly model: string;
  readonly work: ModelWork;
  /** Index of the first token to generate; above 0 when an earlier answer is continued. */
  readonly start: number;
  /** When the first token is due. */
  readonly firstAt: Milliseconds;
  /** Whether the server was cold when the answer began. */
  readonly beganCold: boolean;
}

interface Reader {
  readonly out: ServerResponse;
  readonly isStream: boolean;
  /** Tokens already written to this reader, counted from the start of this generation. */
  next: number;
  lastWrite: Milliseconds;
}

/** A running or finished answer. */
export class Generation {
  readonly plan: GenerationPlan;
  readonly #readers = new Set<Reader>();
  #produced = 0;
  #credit = 0;
  #lastRead: Milliseconds;

  private constructor(plan: GenerationPlan, now: Milliseconds) {
    this.plan = plan;
    this.#lastRead = now;
  }

  static create(plan: GenerationPlan, now: Milliseconds): Generation {
    return new Generation(plan, now);
  }

  get isComplete(): boolean {
    return this.#produced >= this.#total;
  }

  get hasStarted(): boolean {
    return this.#produced > 0;
  }

  /** Time since the last moment with a reader; 0 while one is connected. */
  unread(now: Milliseconds): Milliseconds {
    if (this.#readers.size > 0) this.#lastRead = now;
    return now - this.#lastRead;
  }

  /** Adds a connection that reads from token `offset` of this generation. */
  attach(out: ServerResponse, isStream: boolean, offset: number, now: Milliseconds): void {
    const reader: Reader = { out, isStream, next: offset, lastWrite: now };
    this.#readers.add(reader);
    out.on('close', () => this.#readers.delete(reader));
    if (isStream) out.write(': open\n\n');
    this.#write(reader, now);
  }

  /**
   * Generates what `tokens` (a fraction) allows, and writes it to the readers. True if this made
   * the first token.
   */
  advance(tokens: number, now: Milliseconds): boolean {
    if (now < this.plan.firstAt) {
      this.#comment(now);
      return false;
    }
    const isFirst = !this.hasStarted;
    this.#credit = this.hasStarted ? this.#credit + tokens : 1;
    const whole = Math.min(Math.floor(this.#credit), this.#total - this.#produced);
    this.#credit -= whole;
    this.#produced += whole;
    for (const reader of this.#readers) this.#write(reader, now);
    this.#comment(now);
    return isFirst;
  }

  /** Cuts every connection that reads this answer. */
  cut(): void {
    for (const { out } of this.#readers) out.destroy();
  }

  get #total(): number {
    return Math.max(0, this.plan.work.tokens - this.plan.start);
  }

  #write(reader: Reader, now: Milliseconds): void {
    const from = reader.next;
    if (reader.isStream && from < this.#produced) {
      let text = '';
      for (let index = from; index < this.#produced; index += 1) text += this.#chunk(index);
      reader.out.write(text);
      reader.next = this.#produced;
      reader.lastWrite = now;
    }
    if (this.isComplete) this.#finish(reader);
  }

  #finish(reader: Reader): void {
    this.#readers.delete(reader);
    if (reader.isStream) {
      const last = { ...this.#head('chat.completion.chunk'), usage: this.#usage() };
      const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
      reader.out.end(`data: ${JSON.stringify({ ...last, choices })}\n\ndata: [DONE]\n\n`);
      return;
    }
    const { work, start } = this.plan;
    const content = textOf(work.seed, start, work.tokens);
    const message = { role: 'assistant', content };
    const body = JSON.stringify({
      ...this.#head('chat.completion'),
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: this.#usage(),
    });
    reader.out.setHeader('content-length', Buffer.byteLength(body));
    reader.out.end(body);
  }

  #comment(now: Milliseconds): void {
    for (const reader of this.#readers) {
      if (!reader.isStream || now - reader.lastWrite < commentPeriod) continue;
      reader.out.write(': waiting\n\n');
      reader.lastWrite = now;
    }
  }

  #chunk(index: number): string {
    const content = token(this.plan.work.seed, this.plan.start + index);
    const choices = [{ index: 0, delta: { content }, finish_reason: null }];
    return `data: ${JSON.stringify({ ...this.#head('chat.completion.chunk'), choices })}\n\n`;
  }

  #head(object: string): object {
    return { id: this.plan.id, object, created: 0, model: this.plan.model };
  }

  #usage(): object {
    const completion = this.#total;
    const prompt = this.plan.work.prompt;
    return {
      prompt_tokens: prompt,
      completion_tokens: completion,
      total_tokens: prompt + completion,
    };
  }
}
