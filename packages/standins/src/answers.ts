// Reads the answer to one request as a caller does, and checks that it is whole and the caller's
// own.

import type { Verdict } from '@catkinwheel/state';
import type { Dispatcher } from 'undici';
import { checkOf, textOf, type PlainAnswer } from './work.js';

/** What a caller knows of a request at its end. */
export type Result =
  | { readonly kind: 'answered' }
  | { readonly kind: 'notRun'; readonly reason: string }
  | { readonly kind: 'mayHaveRun'; readonly reason: string }
  /** An answer that was handed on as complete is not whole, or is that of another request. */
  | { readonly kind: 'broken'; readonly reason: string };

/** What is expected of a model answer, and who wants to know of its progress. */
export interface Expected {
  readonly seed: number;
  readonly tokens: number;
  /** Called for each piece of the answer with the number of its tokens. */
  readonly received: (tokens: number) => void;
}

type Body = Dispatcher.ResponseData['body'];

interface Problem {
  readonly verdict?: Verdict;
  readonly reason?: string;
}

interface ChatEvent {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly message?: { readonly content?: string };
  }[];
  readonly error?: Problem;
  readonly verdict?: Verdict;
  readonly reason?: string;
}

/** Length of a token in letters; see `token`. */
const tokenLength = 5;

/** The result that a problem document reports. */
export async function refusal(body: Body, status: number): Promise<Result> {
  const text = await body.text();
  return failure(JSON.parse(text) as Problem, `status ${status}`);
}

function failure(problem: Problem, otherwise: string): Result {
  const reason = problem.reason ?? otherwise;
  // A router that states no verdict has left open whether the request ran.
  return problem.verdict === 'notRun' ? { kind: 'notRun', reason } : { kind: 'mayHaveRun', reason };
}

/** Reads an event stream to its end. Rejects if the connection breaks. */
export async function readStream(body: Body, expected: Expected): Promise<Result> {
  const text = textOf(expected.seed, 0, expected.tokens);
  const decoder = new TextDecoder();
  let position = 0;
  let rest = '';
  let isDone = false;
  for await (const bytes of body) {
    const lines = (rest + decoder.decode(bytes as Buffer, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) {
      if (!line.startsWith('data:')) continue;
      const data = line.slice('data:'.length).trim();
      if (data === '[DONE]') {
        isDone = true;
        continue;
      }
      const event = JSON.parse(data) as ChatEvent;
      const content = event.choices?.[0]?.delta?.content;
      if (event.choices === undefined) return failure(event.error ?? event, 'error event');
      if (content === undefined || content === '') continue;
      if (!text.startsWith(content, position)) {
        return { kind: 'broken', reason: `wrong token ${position / tokenLength}` };
      }
      position += content.length;
      expected.received(content.length / tokenLength);
    }
  }
  if (!isDone) return { kind: 'broken', reason: 'ended without its end mark or an error' };
  if (position < text.length) return { kind: 'broken', reason: 'ended before its last token' };
  return { kind: 'answered' };
}

/** Reads a chat answer in one piece. */
export async function readChat(body: Body, expected: Expected): Promise<Result> {
  const answer = (await body.json()) as ChatEvent;
  const content = answer.choices?.[0]?.message?.content;
  expected.received(expected.tokens);
  return content === textOf(expected.seed, 0, expected.tokens)
    ? { kind: 'answered' }
    : { kind: 'broken', reason: 'wrong text' };
}

/** Reads the answer of a plain service. */
export async function readPlain(body: Body, payment: string): Promise<Result> {
  const answer = (await body.json()) as PlainAnswer;
  return answer.payment === payment && answer.check === checkOf(payment)
    ? { kind: 'answered' }
    : { kind: 'broken', reason: 'answer of another request' };
}
