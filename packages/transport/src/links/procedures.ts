// The remote procedures that a router offers to its peers, the other routers.

import {
  codecs,
  decode,
  helloCodec,
  messageCodec,
  protocolVersion,
  transactionCodec,
  type CatalogueUpdate,
  type Commit,
  type Hello,
  type Message,
  type PlatformFailure,
  type Row,
  type Transaction,
} from '@catkinwheel/protocol';
import type { Revision, Router, RouterName } from '@catkinwheel/state';
import { initTRPC, TRPCError } from '@trpc/server';
import type { Result, ResultAsync } from 'neverthrow';
import { createHash, timingSafeEqual } from 'node:crypto';

/** How a router handles the requests of its peers. */
export interface PeerHandlers {
  /** Handles a message from a peer or from this router itself. */
  deliver(from: RouterName, message: Message): void;
  /** What a peer that has `revision` needs to reach the newest catalogue of this router. */
  catalogueSince(revision: Revision): ResultAsync<CatalogueUpdate, string>;
  /** Runs a transaction on behalf of a peer. */
  relay(from: RouterName, transaction: Transaction): ResultAsync<Commit, PlatformFailure>;
  /** Reads rows on behalf of a peer. */
  rows(from: RouterName, prefix: string): ResultAsync<readonly Row[], PlatformFailure>;
  /** The status of this router as a JSON value, for operators. */
  status(): unknown;
  /** Called when a router has identified itself on a new connection. */
  peerIdentified(router: Router): void;
}

/** Why a peer or its input was refused. */
export type RefusalReason =
  'secret' | 'version' | 'malformed' | 'stranger' | 'oversized' | 'identity';

/** State of one incoming connection. */
export interface PeerContext {
  peer: Router | undefined;
  /** Counts the refusal, and closes the connection after a short time for the response. */
  refuse(reason: RefusalReason, detail: string): void;
  /** Counts a received message. */
  received(message: Message, bytes: number): void;
}

/** What the procedures need from their router. */
export interface PeerProceduresOptions {
  readonly self: Router;
  readonly secret: string;
  readonly handlers: PeerHandlers;
}

/** The response to `hello`. */
export interface HelloResponse {
  readonly version: number;
  readonly router: Router;
}

/** The response to `relay` and `relayRows`. */
export type RelayResult<T> =
  | { readonly kind: 'done'; readonly value: T }
  | { readonly kind: 'failed'; readonly failure: PlatformFailure };

const trpc = initTRPC.context<PeerContext>().create({ isDev: false });

const peerProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (ctx.peer !== undefined) return next({ ctx: { ...ctx, peer: ctx.peer } });
  ctx.refuse('stranger', 'a request came before hello');
  throw new TRPCError({ code: 'UNAUTHORIZED', message: 'hello must come first' });
});

/** The tRPC router with the procedures. */
export function peerProcedures(options: PeerProceduresOptions) {
  return trpc.router({
    hello: trpc.procedure
      .input((input: unknown) => input as Hello)
      .mutation(({ ctx, input }): HelloResponse => {
        ctx.peer = acceptHello(ctx, input, options.secret);
        options.handlers.peerIdentified(ctx.peer);
        return { version: protocolVersion, router: options.self };
      }),

    deliver: peerProcedure
      .input((input: unknown) => input as readonly string[])
      .mutation(({ ctx, input }): void => {
        const problems = input.flatMap((text) => deliver(ctx, ctx.peer, text, options.handlers));
        if (problems[0] === undefined) return;
        ctx.refuse('malformed', problems[0]);
        throw new TRPCError({ code: 'BAD_REQUEST', message: problems[0] });
      }),

    catalogueSince: peerProcedure
      .input((input: unknown) => input as Revision)
      .query(async ({ ctx, input }): Promise<CatalogueUpdate> => {
        const revision = requireValid(ctx, decode(codecs.nonNegativeInteger, input), 'revision');
        const update = await options.handlers.catalogueSince(revision);
        if (update.isOk()) return update.value;
        throw new TRPCError({ code: 'PRECONDITION_FAILED', message: update.error });
      }),

    relay: peerProcedure
      .input((input: unknown) => input as Transaction)
      .mutation(async ({ ctx, input }): Promise<RelayResult<Commit>> => {
        const transaction = requireValid(ctx, decode(transactionCodec, input), 'transaction');
        return relayResultOf(await options.handlers.relay(ctx.peer.name, transaction));
      }),

    relayRows: peerProcedure
      .input((input: unknown) => input as string)
      .query(async ({ ctx, input }): Promise<RelayResult<readonly Row[]>> => {
        const prefix = requireValid(ctx, decode(codecs.text, input), 'prefix');
        return relayResultOf(await options.handlers.rows(ctx.peer.name, prefix));
      }),

    status: peerProcedure.query((): unknown => options.handlers.status()),
  });
}

export type PeerProcedures = ReturnType<typeof peerProcedures>;

function relayResultOf<T>(result: Result<T, PlatformFailure>): RelayResult<T> {
  return result.isOk()
    ? { kind: 'done', value: result.value }
    : { kind: 'failed', failure: result.error };
}

/**
 * Decodes and delivers one message, and returns the problems found; the rest of its batch is not
 * affected.
 */
function deliver(
  ctx: PeerContext,
  peer: Router,
  text: string,
  handlers: PeerHandlers,
): readonly string[] {
  let input: unknown;
  try {
    input = JSON.parse(text);
  } catch {
    return ['a message is not JSON'];
  }
  const message = decode(messageCodec, input);
  if (message.isErr()) return [`message ${message.error}`];
  ctx.received(message.value, Buffer.byteLength(text) + 1);
  handlers.deliver(peer.name, message.value);
  return [];
}

/** Checks version, form and secret of a hello; returns the identity of the peer. */
function acceptHello(ctx: PeerContext, input: unknown, secret: string): Router {
  const version = (input as Partial<Hello> | null)?.version;
  if (typeof version === 'number' && version !== protocolVersion) {
    const detail = `protocol version ${version} is not supported, expected ${protocolVersion}`;
    ctx.refuse('version', detail);
    throw new TRPCError({ code: 'PRECONDITION_FAILED', message: detail });
  }
  const hello = requireValid(ctx, decode(helloCodec, input), 'hello');
  const { router } = hello;
  if (!isSameSecret(hello.secret, secret)) {
    ctx.refuse('secret', `wrong secret from ${router.name}`);
    throw new TRPCError({ code: 'FORBIDDEN', message: 'the shared secret does not match' });
  }
  return router;
}

/** The decoded input of a procedure. A peer that sends malformed input is refused. */
function requireValid<T>(ctx: PeerContext, input: Result<T, string>, inputName: string): T {
  if (input.isOk()) return input.value;
  const detail = `${inputName} ${input.error}`;
  ctx.refuse('malformed', detail);
  throw new TRPCError({ code: 'BAD_REQUEST', message: detail });
}

function isSameSecret(a: string, b: string): boolean {
  const digest = (secret: string): Buffer => createHash('sha256').update(secret).digest();
  return timingSafeEqual(digest(a), digest(b));
}
