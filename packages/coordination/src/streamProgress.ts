// What a stream has handed on so far. It decides at which token a cut stream resumes, from which text
// another server continues, and what the request has cost up to now.

import { streamEndMarker, type ResponseHead, type ServerRequest } from '@catkinwheel/protocol';
import type { Cost } from '@catkinwheel/state';

/** Prompt tokens that cost as much as one generated token. */
const promptTokensPerCost = 10;
/** Usual length of a token, for an estimate until the server reports its usage. */
const bytesPerToken = 4;

interface Usage {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
}

interface Choice {
  readonly index?: number;
  readonly delta?: Readonly<Record<string, unknown>> | null;
}

interface Chunk {
  readonly choices?: readonly (Choice | null)[];
  readonly usage?: Usage | null;
}

/** What to do with an event of a stream. */
export type EventKind = 'token' | 'other' | 'repeated' | 'endMark';

/** Tokens and text of one answer, over all servers that contributed to it. */
export class StreamProgress {
  readonly #promptCost: Cost;
  readonly #keepsText: boolean;
  #text: string[] = [];
  #tokens = 0;
  #attemptTokens = 0;
  #usage: Usage | undefined;
  /** What the events without text said, on all connections and on those before this one. */
  readonly #marks = new Set<string>();
  #earlierMarks: ReadonlySet<string> = new Set();
  /** The head that was handed on. */
  #head: ResponseHead | undefined;
  /** Whether tokens and text tell all that was handed on. */
  #isTextOnly = true;

  private constructor(promptBytes: number, keepsText: boolean) {
    this.#promptCost = promptBytes / bytesPerToken / promptTokensPerCost;
    this.#keepsText = keepsText;
  }

  /** `keepsText` is needed for `continuation` only. */
  static create(promptBytes: number, keepsText: boolean): StreamProgress {
    return new StreamProgress(promptBytes, keepsText);
  }

  /** Whether the head of an answer was handed on. */
  get hasHead(): boolean {
    return this.#head !== undefined;
  }

  /**
   * Whether another connection can go on behind what was handed on. Only a stream of tokens has an
   * offset to go on from; behind any other answer, a second run would be joined to the first.
   */
  get isResumable(): boolean {
    if (this.#head === undefined) return true;
    return this.#head.events && this.#head.status === 200 && this.#isTextOnly;
  }

  /** Tokens handed on over all attempts. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Tokens that the current attempt generated. */
  get offset(): number {
    return this.#attemptTokens;
  }

  /** Cost of the current attempt: as the server reported it, else estimated. */
  get cost(): Cost {
    const prompt = this.#usage?.prompt_tokens;
    return (
      (prompt === undefined ? this.#promptCost : prompt / promptTokensPerCost) +
      (this.#usage?.completion_tokens ?? this.#attemptTokens)
    );
  }

  /** Starts counting for another attempt. */
  nextAttempt(): void {
    this.#attemptTokens = 0;
    this.#usage = undefined;
  }

  /** Starts another connection, which may bring events that the caller has already. */
  nextConnection(): void {
    this.#earlierMarks = new Set(this.#marks);
  }

  /** Notes the head that is handed on. */
  recordHead(head: ResponseHead): void {
    this.#head = head;
  }

  /** Notes an event and says whether it belongs into the answer. */
  recordEvent(data: string): EventKind {
    if (data === streamEndMarker) return 'endMark';
    const chunk = parse(data);
    if (chunk === undefined || !isText(chunk)) this.#isTextOnly = false;
    if (chunk === undefined) return 'other';
    if (chunk.usage != null) this.#usage = chunk.usage;
    const content = chunk.choices?.[0]?.delta?.content;
    if (typeof content !== 'string' || content === '') return this.#noteMark(chunk);
    this.#tokens += 1;
    this.#attemptTokens += 1;
    if (this.#keepsText) this.#text.push(content);
    return 'token';
  }

  /** Events without text have no offset; another connection sends them again, with another id or usage. */
  #noteMark({ choices, usage }: Chunk): EventKind {
    const mark = JSON.stringify([choices, usage != null]);
    this.#marks.add(mark);
    return this.#earlierMarks.has(mark) ? 'repeated' : 'other';
  }

  /** Notes the usage that a plain JSON answer reports. */
  recordUsage(body: string): void {
    const usage = parse(body)?.usage;
    if (usage != null) this.#usage = usage;
  }

  /** The request that makes another server continue the answer; `request` itself if nothing was handed on. */
  continuation(request: ServerRequest): ServerRequest {
    if (this.#tokens === 0 || request.body === null) return request;
    const text = this.#text.join('');
    this.#text = [text];
    const original = JSON.parse(Buffer.from(request.body).toString()) as object;
    const body = { ...original, continue_from: { tokens: this.#tokens, text } };
    return { ...request, body: Buffer.from(JSON.stringify(body)) };
  }
}

/** Fields of a delta that the text so far accounts for. */
const textFields: ReadonlySet<string> = new Set(['role', 'content']);

/** Whether a chunk holds nothing but text of the first choice; a tool call, for one, has no offset. */
function isText({ choices, usage }: Chunk): boolean {
  if (!Array.isArray(choices)) return usage != null;
  return choices.every((choice: Choice | null) => {
    const { index = 0, delta } = choice ?? {};
    const fields = Object.entries(delta ?? {});
    return index === 0 && fields.every(([name, value]) => textFields.has(name) || isEmpty(value));
  });
}

function isEmpty(value: unknown): boolean {
  return value === null || value === '' || (Array.isArray(value) && value.length === 0);
}

function parse(data: string): Chunk | undefined {
  try {
    const value: unknown = JSON.parse(data);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
