// Some header fields speak of one connection only and must not travel further.

import {
  hopByHopFields,
  requestIdHeader,
  type ResponseHead,
  type HeaderFields,
} from '@catkinwheel/protocol';

/** Fields of a caller that are for the router alone, or that the router sets itself. */
const routersOwn: ReadonlySet<string> = new Set([
  'authorization',
  'idempotency-key',
  'x-request-id',
  'host',
  'content-length',
  'expect',
]);

const routersOwnOrCoding: ReadonlySet<string> = new Set([...routersOwn, 'accept-encoding']);

type Fields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Fields of a caller's request that a server is to see. */
export function requestFields(fields: Fields): HeaderFields {
  return without(fields, routersOwn);
}

/** Fields of a chat request that an engine is to see. Streams are read here, so they come uncompressed. */
export function chatFields(fields: Fields): HeaderFields {
  return without(fields, routersOwnOrCoding);
}

/** Fields of a server's answer that a caller is to see, `content-length` included. */
export function answerFields(fields: Fields): HeaderFields {
  return without(fields, none);
}

/**
 * Fields of an accepted answer as its caller gets them. Events are framed anew, so their length changes,
 * and a 204 has no length (RFC 9110, section 8.6); some callers would wait for the bytes.
 */
export function callerFields(head: ResponseHead): HeaderFields {
  const hasLength = !head.events && head.status !== 204;
  return without(head.headers, hasLength ? attemptOnly : attemptAndLength);
}

/** The attempt's id; the caller gets that of the request. */
const attemptOnly: ReadonlySet<string> = new Set([requestIdHeader]);
const attemptAndLength: ReadonlySet<string> = new Set([requestIdHeader, 'content-length']);
const none: ReadonlySet<string> = new Set();

function without(fields: Fields, others: ReadonlySet<string>): HeaderFields {
  const named = namedByConnection(fields.connection);
  const kept: Record<string, string | readonly string[]> = {};
  for (const name in fields) {
    const value = fields[name];
    if (value === undefined || hopByHopFields.has(name) || others.has(name) || named.has(name))
      continue;
    kept[name] = value;
  }
  return kept;
}

/** `Connection` names further fields that end with the connection. */
function namedByConnection(value: string | readonly string[] | undefined): ReadonlySet<string> {
  if (value === undefined || value === 'close' || value === 'keep-alive') return none;
  const names = typeof value === 'string' ? value : value.join(',');
  return new Set(names.split(',').map((name) => name.trim().toLowerCase()));
}
