// The language that the load tool and the stand-ins share: what a request asks for is written in
// its text, and its whole answer follows from that, so that a caller can check every token.

/** What one model request asks for. Routers know nothing of this. */
export interface ModelWork {
  /** Unique name of the request; executions are counted by it. */
  readonly key: string;
  /** Decides the tokens of the answer. */
  readonly seed: number;
  /** Size of the prompt in tokens. */
  readonly prompt: number;
  /** Number of tokens to generate. */
  readonly tokens: number;
}

/** What one plain request asks for; the whole request body. */
export interface PlainWork {
  /** Unique name of the payment; executions are counted by it. */
  readonly payment: string;
  /** Time that it takes, in milliseconds. */
  readonly time: number;
}

/** The answer to plain work; `check` is a function of the payment. */
export interface PlainAnswer {
  readonly payment: string;
  readonly check: string;
}

const workPattern = /work:(\{[^}]*\})/;

/** The prompt text for a piece of work. */
export function promptFor(work: ModelWork): string {
  return `work:${JSON.stringify(work)}`;
}

/** The work that a prompt text asks for, or undefined if it asks for none. */
export function workIn(text: string): ModelWork | undefined {
  const match = workPattern.exec(text);
  if (match?.[1] === undefined) return undefined;
  return JSON.parse(match[1]) as ModelWork;
}

const multiplier = 0x9e3779b1;
const tokenLetters = 4;

/** Token number `index` of the answer decided by `seed`. */
export function token(seed: number, index: number): string {
  const mixed = Math.imul(Math.imul(seed + 1, multiplier) ^ (index + 1), multiplier) >>> 0;
  return ` ${mixed.toString(36).padStart(tokenLetters, '0').slice(-tokenLetters)}`;
}

/** The text of the tokens from `start` up to but not including `end`. */
export function textOf(seed: number, start: number, end: number): string {
  let text = '';
  for (let index = start; index < end; index += 1) text += token(seed, index);
  return text;
}

/** The value that a whole answer to plain work carries. */
export function checkOf(payment: string): string {
  let sum = 0;
  for (const letter of payment) sum = Math.imul(sum ^ letter.charCodeAt(0), multiplier) >>> 0;
  return sum.toString(36);
}

/** Cost of model work in the units of the ledger: prompt tokens / 10 + generated tokens. */
export function modelCost(promptTokens: number, generated: number): number {
  return promptTokens / 10 + generated;
}
