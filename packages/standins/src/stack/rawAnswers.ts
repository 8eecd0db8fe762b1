// Answers as raw bytes. A server library completes or drops what it sends, so that answers which break off within a
// chunk, have no framing, never end or come twice cannot be made with it.

import type { BrokenBehaviour, EndlessBehaviour, ExtraBytes } from './behaviour.js';

/** The answer that the server would give. */
export interface Content {
  readonly id: string;
  readonly server: string;
  readonly type: 'text/plain' | 'text/event-stream';
  readonly body: string;
}

/** An answer that ends with its connection. */
export interface BrokenAnswer {
  readonly first: string;
  /** Sent a moment later, before the connection ends. */
  readonly rest: string;
  readonly ending: 'closed' | 'reset';
  /** Whether the body is whole when the connection has ended. */
  readonly isWhole: boolean;
}

const chunked = 'Transfer-Encoding: chunked\r\n';
const closing = 'Connection: close\r\n';

function fieldsOf({ id, server }: Content): string {
  return `Request-Id: ${id}\r\nResponse-Seal: seal-${server}\r\n`;
}

function headOf(content: Content, framing: string): string {
  return `HTTP/1.1 200 OK\r\n${fieldsOf(content)}Content-Type: ${content.type}\r\n${framing}\r\n`;
}

function sizeOf(text: string): string {
  return text.length.toString(16);
}

/** The bytes of an answer that breaks off, or whose end is that of the connection. */
export function brokenAnswer(behaviour: BrokenBehaviour, content: Content): BrokenAnswer {
  const { body } = content;
  // Two characters behind the middle is within an event of a stream.
  const middle = Math.floor(body.length / 2) + 2;
  const [first, second] = [body.slice(0, middle), body.slice(middle)];
  const closed = { rest: '', ending: 'closed', isWhole: false } as const;
  const reset = { rest: '', ending: 'reset', isWhole: false } as const;
  const inChunk = `${sizeOf(body)}\r\n${first}`;
  const betweenChunks = `${sizeOf(first)}\r\n${first}\r\n`;
  switch (behaviour) {
    case 'resetsUnframed':
      return { ...reset, first: headOf(content, '') + first };
    case 'closesUnframed':
      return { ...closed, first: headOf(content, '') + first, rest: second, isWhole: true };
    case 'resetsChunked':
      return { ...reset, first: headOf(content, closing + chunked) + betweenChunks };
    case 'endsInLength': {
      const length = `Content-Length: ${body.length}\r\n`;
      return { ...closed, first: headOf(content, closing + length) + first };
    }
    case 'endsInChunk':
      return { ...closed, first: headOf(content, chunked) + inChunk };
    case 'endsInChunkClosing':
      return { ...closed, first: headOf(content, closing + chunked) + inChunk };
    case 'endsBetweenChunks':
      return { ...closed, first: headOf(content, chunked) + betweenChunks };
    case 'endsBetweenChunksClosing':
      return { ...closed, first: headOf(content, closing + chunked) + betweenChunks };
  }
}

/** The bytes behind a whole answer. */
export function extraBytes({ content, hasId }: ExtraBytes, answer: Content): string {
  const id = hasId ? `Request-Id: ${answer.id}\r\n` : '';
  const seal = `Response-Seal: seal-${answer.server}\r\n`;
  const framed = (body: string): string => `Content-Length: ${body.length}\r\n\r\n${body}`;
  switch (content) {
    case 'answer':
      return `HTTP/1.1 200 OK\r\n${id}${seal}${framed(answer.body)}`;
    case 'error':
      return `HTTP/1.1 500 Failed\r\n${id}${seal}${framed(`${answer.server} failed ${answer.id}`)}`;
    case 'refusal':
      return `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n${id}${framed('')}`;
    case 'noise':
      return answer.body.slice(-3);
  }
}

/** What is sent first of an answer without end, and what is repeated. */
export function endlessBytes(
  behaviour: EndlessBehaviour,
  id: string,
  server: string,
): { readonly first: string; readonly again: string } {
  const ids = `Request-Id: ${id}\r\nResponse-Seal: seal-${server}\r\n`;
  const body = `${chunked}\r\n`;
  const chunk = `400\r\n${'x'.repeat(1_024)}\r\n`;
  switch (behaviour) {
    case 'endlessNoise':
      return { first: '', again: '\0'.repeat(1_024) };
    case 'endlessHead':
      return { first: `HTTP/1.1 200 OK\r\n${ids}`, again: `X-Field: ${'x'.repeat(1_000)}\r\n` };
    case 'endlessInterim':
      return { first: '', again: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' };
    case 'endlessRefusal':
      return {
        first: `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: ${id}\r\n${body}`,
        again: chunk,
      };
    case 'endlessFailure':
      return { first: `HTTP/1.1 500 Failed\r\n${ids}${body}`, again: chunk };
    case 'endlessExtension':
      return { first: `HTTP/1.1 200 OK\r\n${ids}${body}5;x=`, again: 'y'.repeat(1_024) };
    case 'endlessEvent':
      return {
        first: `HTTP/1.1 200 OK\r\n${ids}Content-Type: text/event-stream\r\n${body}`,
        again: chunk,
      };
    case 'endlessTrailer':
      return {
        first: `HTTP/1.1 200 OK\r\n${ids}${body}2\r\nok\r\n0\r\n`,
        again: `X-Field: ${'x'.repeat(1_000)}\r\n`,
      };
  }
}
