// Progress of a response: what was forwarded to the caller so far. It determines at which token an interrupted
// stream resumes, from which text another server continues it, and what the request has cost so far.

import { streamEndMarker, type ResponseHead, type ServerRequest } from '@catkinwheel/protocol';
import type { Cost } from '@catkinwheel/state';

/** Prompt tokens that cost as much as one generated token. */
const promptTokensPerCost = 10;
/** Typical length of a token, for an estimate until the server reports its usage. */
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

/** Kind of a stream event. A `repeated` event was forwarded before; `other` events are forwarded like tokens. */
export type EventKind = 'token' | 'other' | 'repeated' | 'endMark';

/** Tokens and text of one response, over all servers that contributed to it. */
export class StreamProgress {
  readonly #promptCost: Cost;
  readonly #keepsText: boolean;
  #text: string[] = [];
  #tokens = 0;
  #attemptTokens = 0;
  #usage: Usage | undefined;
  /** Fingerprints of the events without text: of all connections, and of those before the current one. */
  readonly #fingerprints = new Set<string>();
  #earlierFingerprints: ReadonlySet<string> = new Set();
  /** The head that was forwarded. */
  #head: ResponseHead | undefined;
  /** Whether token count and text describe everything that was forwarded. */
  #isTextOnly = true;

  private constructor(promptBytes: number, keepsText: boolean) {
    this.#promptCost = promptBytes / bytesPerToken / promptTokensPerCost;
    this.#keepsText = keepsText;
  }

  /** `keepsText` is needed for `continuation` only. */
  static create(promptBytes: number, keepsText: boolean): StreamProgress {
    return new StreamProgress(promptBytes, keepsText);
  }

  /** Whether the head of a response was forwarded. */
  get hasHead(): boolean {
    return this.#head !== undefined;
  }

  /**
   * Whether another connection can continue after what was forwarded. Only a stream of tokens has an offset
   * to resume from; with any other response, the caller would get the parts of two runs joined.
   */
  get isResumable(): boolean {
    if (this.#head === undefined) return true;
    return this.#head.events && this.#head.status === 200 && this.#isTextOnly;
  }

  /** Tokens forwarded over all attempts. */
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

  /** Resets the counts for another attempt. */
  nextAttempt(): void {
    this.#attemptTokens = 0;
    this.#usage = undefined;
  }

  /** Starts another connection, which may send events again that the caller already has. */
  nextConnection(): void {
    this.#earlierFingerprints = new Set(this.#fingerprints);
  }

  /** Records the head that is forwarded. */
  recordHead(head: ResponseHead): void {
    this.#head = head;
  }

  /** Records an event and returns its kind, by which the caller of this method forwards or drops it. */
  recordEvent(data: string): EventKind {
    if (data === streamEndMarker) return 'endMark';
    const chunk = parse(data);
    if (chunk === undefined || !isText(chunk)) this.#isTextOnly = false;
    if (chunk === undefined) return 'other';
    if (chunk.usage != null) this.#usage = chunk.usage;
    const content = chunk.choices?.[0]?.delta?.content;
    if (typeof content !== 'string' || content === '') return this.#recordFingerprint(chunk);
    this.#tokens += 1;
    this.#attemptTokens += 1;
    if (this.#keepsText) this.#text.push(content);
    return 'token';
  }

  /**
   * Events without text don't count in the offset, so another connection sends them again. The fingerprint
   * leaves out the id and the usage figures, which then differ.
   */
  #recordFingerprint({ choices, usage }: Chunk): EventKind {
    const fingerprint = JSON.stringify([choices, usage != null]);
    this.#fingerprints.add(fingerprint);
    return this.#earlierFingerprints.has(fingerprint) ? 'repeated' : 'other';
  }

  /** Records the usage that a plain JSON response reports. */
  recordUsage(body: string): void {
    const usage = parse(body)?.usage;
    if (usage != null) this.#usage = usage;
  }

  /** The request that makes another server continue the response; `request` itself if no token was forwarded. */
  continuation(request: ServerRequest): ServerRequest {
    if (this.#tokens === 0 || request.body === null) return request;
    const text = this.#text.join('');
    this.#text = [text];
    const original = JSON.parse(Buffer.from(request.body).toString()) as object;
    const body = { ...original, continue_from: { tokens: this.#tokens, text } };
    return { ...request, body: Buffer.from(JSON.stringify(body)) };
  }
}

/** Fields of a delta that the forwarded text covers. */
const textFields: ReadonlySet<string> = new Set(['role', 'content']);

/** Whether a chunk has nothing but text of the first choice; a tool call, for example, has no offset. */
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
