// The procedures that a router offers to other routers.

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

/** What a router does with the requests of its peers. */
export interface PeerHandlers {
  /** A message from a peer or from this router itself. */
  deliver(from: RouterName, message: Message): void;
  catalogueSince(revision: Revision): ResultAsync<CatalogueUpdate, string>;
  /** Performs a transaction on behalf of a peer. */
  relay(from: RouterName, transaction: Transaction): ResultAsync<Commit, PlatformFailure>;
  /** Reads rows on behalf of a peer. */
  rows(from: RouterName, prefix: string): ResultAsync<readonly Row[], PlatformFailure>;
  /** A JSON value for operators. */
  status(): unknown;
  /** A router has identified itself on a new connection. */
  peerIdentified(router: Router): void;
}

/** Why a peer or its input was refused. */
export type Refusal = 'secret' | 'version' | 'malformed' | 'stranger' | 'oversized' | 'identity';

/** State of one incoming connection. */
export interface PeerContext {
  peer: Router | undefined;
  /** Counts the refusal and, unless the peer may go on, closes the connection after the answer. */
  refuse(reason: Refusal, detail: string): void;
  /** Counts a received message. */
  received(message: Message, bytes: number): void;
}

/** What the procedures need from the router they belong to. */
export interface PeerHost {
  readonly self: Router;
  readonly secret: string;
  readonly handlers: PeerHandlers;
}

/** The answer to `hello`. */
export interface Welcome {
  readonly version: number;
  readonly router: Router;
}

/** The answer to `relay` and `relayRows`. */
export type Relayed<T> =
  | { readonly kind: 'done'; readonly value: T }
  | { readonly kind: 'failed'; readonly failure: PlatformFailure };

const trpc = initTRPC.context<PeerContext>().create({ isDev: false });

const peerProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (ctx.peer !== undefined) return next({ ctx: { ...ctx, peer: ctx.peer } });
  ctx.refuse('stranger', 'a request came before hello');
  throw new TRPCError({ code: 'UNAUTHORIZED', message: 'hello must come first' });
});

/** The trpc router of a daemon. */
export function peerRouter(host: PeerHost) {
  return trpc.router({
    hello: trpc.procedure
      .input((input: unknown) => input as Hello)
      .mutation(({ ctx, input }): Welcome => {
        ctx.peer = accepted(ctx, input, host.secret);
        host.handlers.peerIdentified(ctx.peer);
        return { version: protocolVersion, router: host.self };
      }),

    deliver: peerProcedure
      .input((input: unknown) => input as readonly string[])
      .mutation(({ ctx, input }): void => {
        const problems = input.flatMap((line) => deliver(ctx, ctx.peer, line, host.handlers));
        if (problems[0] === undefined) return;
        ctx.refuse('malformed', problems[0]);
        throw new TRPCError({ code: 'BAD_REQUEST', message: problems[0] });
      }),

    catalogueSince: peerProcedure
      .input((input: unknown) => input as Revision)
      .query(async ({ ctx, input }): Promise<CatalogueUpdate> => {
        const revision = checked(ctx, decode(codecs.nonNegativeInteger, input), 'revision');
        const update = await host.handlers.catalogueSince(revision);
        if (update.isOk()) return update.value;
        throw new TRPCError({ code: 'PRECONDITION_FAILED', message: update.error });
      }),

    relay: peerProcedure
      .input((input: unknown) => input as Transaction)
      .mutation(async ({ ctx, input }): Promise<Relayed<Commit>> => {
        const transaction = checked(ctx, decode(transactionCodec, input), 'transaction');
        return relayed(await host.handlers.relay(ctx.peer.name, transaction));
      }),

    relayRows: peerProcedure
      .input((input: unknown) => input as string)
      .query(async ({ ctx, input }): Promise<Relayed<readonly Row[]>> => {
        const prefix = checked(ctx, decode(codecs.text, input), 'prefix');
        return relayed(await host.handlers.rows(ctx.peer.name, prefix));
      }),

    status: peerProcedure.query((): unknown => host.handlers.status()),
  });
}

export type PeerRouter = ReturnType<typeof peerRouter>;

function relayed<T>(result: Result<T, PlatformFailure>): Relayed<T> {
  return result.isOk()
    ? { kind: 'done', value: result.value }
    : { kind: 'failed', failure: result.error };
}

/** Decodes and hands on one message; the rest of its batch is delivered even if this one is bad. */
function deliver(
  ctx: PeerContext,
  peer: Router,
  line: string,
  handlers: PeerHandlers,
): readonly string[] {
  let input: unknown;
  try {
    input = JSON.parse(line);
  } catch {
    return ['a message is not JSON'];
  }
  const message = decode(messageCodec, input);
  if (message.isErr()) return [`message ${message.error}`];
  ctx.received(message.value, Buffer.byteLength(line) + 1);
  handlers.deliver(peer.name, message.value);
  return [];
}

function accepted(ctx: PeerContext, input: unknown, secret: string): Router {
  const version = (input as Partial<Hello> | null)?.version;
  if (typeof version === 'number' && version !== protocolVersion) {
    const detail = `protocol version ${version} is not supported, expected ${protocolVersion}`;
    ctx.refuse('version', detail);
    throw new TRPCError({ code: 'PRECONDITION_FAILED', message: detail });
  }
  const hello = checked(ctx, decode(helloCodec, input), 'hello');
  const { router } = hello;
  if (!isSameSecret(hello.secret, secret)) {
    ctx.refuse('secret', `wrong secret from ${router.name}`);
    throw new TRPCError({ code: 'FORBIDDEN', message: 'the shared secret does not match' });
  }
  return router;
}

/** The decoded input of a procedure; a malformed one is refused. */
function checked<T>(ctx: PeerContext, input: Result<T, string>, what: string): T {
  if (input.isOk()) return input.value;
  const detail = `${what} ${input.error}`;
  ctx.refuse('malformed', detail);
  throw new TRPCError({ code: 'BAD_REQUEST', message: detail });
}

function isSameSecret(a: string, b: string): boolean {
  const digest = (secret: string): Buffer => createHash('sha256').update(secret).digest();
  return timingSafeEqual(digest(a), digest(b));
}
