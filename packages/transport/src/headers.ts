// Selection of the header fields that are forwarded. Fields that apply to one connection only are
// not.

import {
  hopByHopFields,
  requestIdHeader,
  type ResponseHead,
  type HeaderFields,
} from '@catkinwheel/protocol';

/**
 * Fields of a caller's request that are meant for the router only, or that the router sets itself.
 */
const routerFields: ReadonlySet<string> = new Set([
  'authorization',
  'idempotency-key',
  'x-request-id',
  'host',
  'content-length',
  'expect',
]);

const routerFieldsAndEncoding: ReadonlySet<string> = new Set([...routerFields, 'accept-encoding']);

type Fields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Fields of a caller's request that are forwarded to a plain server. */
export function fieldsForServer(fields: Fields): HeaderFields {
  return omitFields(fields, routerFields);
}

/**
 * Fields of a chat request that are forwarded to an engine. The router parses the streams, so they
 * must be uncompressed.
 */
export function fieldsForEngine(fields: Fields): HeaderFields {
  return omitFields(fields, routerFieldsAndEncoding);
}

/** Fields of a server's response that are forwarded, `content-length` included. */
export function fieldsFromServer(fields: Fields): HeaderFields {
  return omitFields(fields, noFields);
}

/**
 * Fields of a response as sent to its caller. Events are serialised again, so the length changes. A
 * 204 must have no length (RFC 9110, section 8.6), as some callers would wait for the bytes.
 */
export function fieldsForCaller(head: ResponseHead): HeaderFields {
  const hasLength = !head.events && head.status !== 204;
  return omitFields(head.headers, hasLength ? attemptFields : attemptFieldsAndLength);
}

/** The id of the attempt is dropped, since the caller gets the id of its request. */
const attemptFields: ReadonlySet<string> = new Set([requestIdHeader]);
const attemptFieldsAndLength: ReadonlySet<string> = new Set([requestIdHeader, 'content-length']);
const noFields: ReadonlySet<string> = new Set();

function omitFields(fields: Fields, others: ReadonlySet<string>): HeaderFields {
  const connectionFields = fieldsListedBy(fields.connection);
  const forwarded: Record<string, string | readonly string[]> = {};
  for (const name in fields) {
    const value = fields[name];
    if (
      value === undefined ||
      hopByHopFields.has(name) ||
      others.has(name) ||
      connectionFields.has(name)
    )
      continue;
    forwarded[name] = value;
  }
  return forwarded;
}

/** Further hop-by-hop fields, which the `Connection` field lists. */
function fieldsListedBy(value: string | readonly string[] | undefined): ReadonlySet<string> {
  if (value === undefined || value === 'close' || value === 'keep-alive') return noFields;
  const names = typeof value === 'string' ? value : value.join(',');
  return new Set(names.split(',').map((name) => name.trim().toLowerCase()));
}
