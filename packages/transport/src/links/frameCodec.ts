// The encoding of tRPC envelopes on a link between two routers. An encoded envelope is a frame. Most
// of them are a call of `deliver`, which hands messages to a peer, or its response. These have a
// short form: the call is the id in the first line and one message in each further line, the
// response is the id alone. The messages of a call are passed in already encoded, so that one
// encoding serves all receivers and its size can be counted by kind.

interface Envelope {
  readonly id?: unknown;
  readonly params?: { readonly path?: unknown; readonly input?: unknown };
  readonly result?: { readonly data?: unknown };
}

/**
 * Encodes and decodes tRPC envelopes of both directions. Other calls and responses are sent as
 * plain JSON.
 */
export const frameCodec = {
  encode(data: unknown): string {
    const { id, params, result } = data as Envelope;
    if (typeof id === 'number') {
      if (result !== undefined && result.data === undefined) return String(id);
      if (params?.path === 'deliver' && Array.isArray(params.input)) {
        return `${id}\n${params.input.join('\n')}`;
      }
    }
    return JSON.stringify(data);
  },

  /** Throws a SyntaxError if `data` is not a frame. */
  decode(data: string | ArrayBuffer | Uint8Array): unknown {
    if (typeof data !== 'string') throw new SyntaxError('a frame must be text');
    const end = data.indexOf('\n');
    // The id, or the complete envelope if it has no short form.
    const id: unknown = JSON.parse(end < 0 ? data : data.slice(0, end));
    if (end < 0) return typeof id === 'number' ? { id, result: { type: 'data' } } : id;
    const input = data.slice(end + 1).split('\n');
    return { id, method: 'mutation', params: { path: 'deliver', input } };
  },
};
