// One request of a caller, from its arrival to the end of its answer: which servers it is sent to, what is
// handed on, and what the caller is told if nothing can be.

import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  belongsToOtherRequest,
  classifyResponse,
  type ResponseFacts,
  type OverloadBasis,
  type Dispatcher,
  type Grant,
  type Prompt,
  type Route,
  type Team,
} from '@catkinwheel/coordination/routing';
import {
  decodeResponseHead,
  decodeRequestHead,
  encodeServerHeaders,
  headerNames,
  isMisdirected,
  type ResponseHeaders,
  type RequestHead,
} from '@catkinwheel/platform';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { describe, resultOf, type Attempt, type Cause, type Trace } from './attempt.js';
import { ResponseAssembler, type RunAnswer } from './responseAssembler.js';
import { CallerResponse } from './callerResponse.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { readBody } from './requestBody.js';
import type { Outgoing, ServerConnections } from './serverConnections.js';

/** A stream that may be continued elsewhere is, after this silence; callers leave after about 2 s. */
const eventSilence: Milliseconds = 1_300;
/** A first event, or an answer, that may be asked for again elsewhere, is after this much more than predicted. */
const firstSilence: Milliseconds = 1_500;
/** The rest of an answer that is not handed on is read for so long and so far, so that its connection can be kept. */
const discardTime: Milliseconds = 200;
const discardLimit = 16 * 1024;
/** Servers that could not be reached count no attempt, but only so many are tried. */
const mostTries = 6;
/** A caller that is refused while routers start or stop finds another one at once. */
const otherRouterRetry: Milliseconds = 300;

/** A router that is behind has read what waits within about this time if nothing more comes. */
const behindRetry: Milliseconds = 1_000;

/** Statuses of this router's own answers. Only `refused` promises that the request has not run. */
const statuses = {
  unknownKey: 401,
  unknownRoute: 404,
  tooLarge: 413,
  failed: 502,
  refused: 503,
  timeout: 504,
} as const;

/** Parts that a request needs. */
export interface RelayParts {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly connections: ServerConnections;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether new requests are refused because this router is about to stop. */
  readonly isClosing: () => boolean;
  /** Whether new requests are refused because this router has not caught up with those that came before. */
  readonly isBehind: () => boolean;
  /** How late this router was lately. */
  readonly late: () => Milliseconds;
  readonly random: () => number;
}

/** Where a request stands on its caller's connection. */
export interface ConnectionUse {
  /** Counts the caller's connections of this run of the router. */
  readonly number: number;
  /** Requests on the connection until now, this one included. */
  readonly requests: number;
  /** IP address of the router that has handed the connection on; undefined if the caller connected to this one. */
  readonly via: string | undefined;
}

/** Whether the request may have run, over all attempts. */
type Verdict = 'notRun' | 'mayHaveRun';

/** One try of a request at one server. */
interface Sending {
  readonly route: Route;
  readonly grant: Grant;
  readonly body: Buffer;
  readonly deadline: Milliseconds;
  /** Whether the request may be sent to a further server. */
  readonly mayRepeat: boolean;
  readonly answer: ResponseAssembler;
}

/** A request that is being served. */
export class Relay {
  readonly #arrived: Milliseconds;
  readonly #head: RequestHead;
  readonly #caller: CallerResponse;
  readonly #ending = new AbortController();
  readonly #traces: Trace[] = [];
  #deadlineTimer: NodeJS.Timeout | undefined;
  #firstByte: Milliseconds | undefined;
  #acceptWait: Milliseconds | undefined;
  #route: Route | undefined;
  #team: Team | undefined;
  #basis: OverloadBasis | undefined;

  private constructor(
    private readonly parts: RelayParts,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly connection: ConnectionUse,
  ) {
    this.#arrived = parts.clock.now();
    this.#head = decodeRequestHead(request.headers);
    this.#caller = CallerResponse.create(response, this.#head.id, this.#ending.signal);
  }

  static create(
    parts: RelayParts,
    request: IncomingMessage,
    response: ServerResponse,
    connection: ConnectionUse,
  ): Relay {
    return new Relay(parts, request, response, connection);
  }

  /** Refuses the request unread, since its connection waited for too long to be accepted. */
  refuseOld(wait: Milliseconds): void {
    this.#acceptWait = wait;
    this.#refuse('behind', behindRetry);
  }

  /** Serves the request to its end. Never rejects. */
  async run(): Promise<void> {
    const { response, request } = this;
    const { socket } = request;
    const onClose = (): void => {
      if (!response.writableFinished) this.#ending.abort('callerGone');
    };
    response.on('close', onClose);
    // A response that waits for an earlier one on its connection is not told of the connection's end.
    socket.on('close', onClose);
    try {
      await this.#serve();
    } catch (error) {
      this.parts.log.write('request failed inside the router', {
        id: this.#head.id,
        path: request.url,
        detail: error instanceof Error ? (error.stack ?? error.message) : String(error),
      });
      this.#fail('internal', 'mayHaveRun');
    } finally {
      socket.off('close', onClose);
      clearTimeout(this.#deadlineTimer);
    }
  }

  async #serve(): Promise<void> {
    const { dispatcher, isClosing, isBehind } = this.parts;
    const { table } = dispatcher;
    const body = await readBody(this.request, table?.state.limits.body ?? Infinity);
    if (body === 'gone') {
      this.#end('left', 'unread');
      return;
    }
    if (body === 'tooLarge') {
      this.#reject(statuses.tooLarge, 'bodyTooLarge');
      return;
    }
    if (table === undefined || isClosing()) {
      this.#refuse(table === undefined ? 'noDesiredState' : 'stopping', otherRouterRetry);
      return;
    }
    if (isBehind()) {
      this.#refuse('behind', behindRetry);
      return;
    }
    const path = this.request.url ?? '/';
    const route = table.route(hostOf(this.request), path);
    if (route === undefined) {
      this.#reject(statuses.unknownRoute, 'unknownRoute');
      return;
    }
    this.#route = route;
    if (table.state.teams !== undefined && !route.isPublic) {
      this.#team = this.#head.key === undefined ? undefined : table.team(this.#head.key);
      if (this.#team === undefined) {
        this.#reject(statuses.unknownKey, 'unknownKey');
        return;
      }
    }
    await this.#tryServers(route, body);
  }

  async #tryServers(route: Route, body: Buffer): Promise<void> {
    const { dispatcher, metrics, clock } = this.parts;
    const deadline = this.#arrived + Math.min(this.#head.timeLeft ?? route.timeout, route.timeout);
    this.#deadlineTimer = setTimeout(() => {
      this.#ending.abort('deadline');
    }, deadline - clock.now());
    const service = this.#chooseService(route);
    dispatcher.retryBudget.deposit(service);
    const avoid = new Set<string>();
    const answer = ResponseAssembler.create(clock, this.#caller, route);
    let verdict: Verdict = 'notRun';
    let sends = 0;
    for (let tries = 0; tries < mostTries; tries += 1) {
      const grant = await dispatcher.acquire(
        {
          route,
          service,
          team: this.#team,
          prompt: this.#head.prompt,
          arrived: this.#arrived,
          deadline,
          avoid,
        },
        this.#ending.signal,
      );
      if (grant.kind === 'refused') {
        this.#basis = grant.basis;
        this.#giveUp(grant.reason, verdict, grant.retryAfter);
        return;
      }
      if (tries === 0) metrics.waiting.observe((clock.now() - this.#arrived) / 1_000);
      const mayRepeat = sends + 1 < route.maxAttempts && isRepeatable(route);
      const sending = { route, grant, body, deadline, mayRepeat, answer };
      const attempt = await this.#attempt(sending);
      avoid.add(grant.server.id);
      switch (attempt.kind) {
        case 'delivered':
          this.#end('delivered');
          return;
        case 'ended':
          verdict = 'mayHaveRun';
          if (attempt.cause === 'silence') break;
          this.#fail(attempt.cause, verdict);
          return;
        case 'unsent':
          continue;
        case 'notRun':
          if (isMisdirected(attempt.status)) continue;
          break;
        case 'failed':
        case 'cut':
          verdict = 'mayHaveRun';
          break;
      }
      sends += 1;
      const isAllowed =
        sends < route.maxAttempts &&
        (attempt.kind === 'notRun' || isRepeatable(route)) &&
        answer.isContinuable &&
        !this.#ending.signal.aborted;
      if (!isAllowed || !dispatcher.retryBudget.withdraw(service)) {
        const reason = verdict === 'notRun' ? 'serverRefused' : attempt.kind;
        this.#giveUp(reason, verdict, otherRouterRetry);
        return;
      }
      metrics.repeats.inc({ reason: attempt.kind });
    }
    this.#giveUp('unreachable', verdict, otherRouterRetry);
  }

  async #attempt(sending: Sending): Promise<Attempt> {
    const { route, grant, body, deadline, mayRepeat, answer } = sending;
    const { clock, connections, metrics } = this.parts;
    const { server } = grant;
    const sent = clock.now();
    const silence = new AbortController();
    const signal = this.#attemptSignal(route, silence.signal);
    const headers = encodeServerHeaders(this.request.headers, {
      server: server.id,
      team: this.#team?.name,
      timeLeft: deadline - sent,
      lastEvent: answer.lastEvent ?? this.#head.lastEvent,
    });
    const outgoing = {
      method: this.request.method ?? 'GET',
      path: this.request.url ?? '/',
      headers,
      body: body.length > 0 ? body : null,
    };
    let watch: NodeJS.Timeout | undefined;
    const expectBytes = (within: Milliseconds): void => {
      clearTimeout(watch);
      // Silence is no reason to end an answer that no other run may continue.
      if (!mayRepeat || !answer.isContinuable) return;
      watch = setTimeout(() => {
        silence.abort('silence');
      }, within);
    };
    expectBytes(grant.predicted + firstSilence);
    const handedOnBefore = this.#caller.handedOn;
    let first: Milliseconds | undefined;
    const onProgress = (): void => {
      if (first === undefined) {
        first = clock.now() - sent;
        grant.started();
        metrics.predictionError.observe((first - grant.predicted) / 1_000);
      }
      clearTimeout(watch);
    };
    const onDiscard = (): void => {
      clearTimeout(watch);
      watch = setTimeout(() => {
        silence.abort('silence');
      }, discardTime);
    };
    const onWait = (): void => {
      expectBytes(eventSilence);
    };
    const on = { progress: onProgress, wait: onWait, discard: onDiscard };
    const attempt = await this.#relay(sending, outgoing, signal, on);
    clearTimeout(watch);
    const ended = attempt.kind === 'ended' && attempt.cause === 'silence';
    if (ended) connections.retire(server.id);
    grant.finish(resultOf(attempt));
    this.#traces.push({
      server: server.id,
      predicted: Math.round(grant.predicted),
      missing: grant.missing,
      at: Math.round(sent - this.#arrived),
      first: rounded(first),
      took: Math.round(clock.now() - sent),
      handedOn: this.#caller.handedOn - handedOnBefore,
      result: describe(attempt),
    });
    return attempt;
  }

  /** Hands the answer of one server on. */
  async #relay(
    { route, grant, mayRepeat, answer }: Sending,
    outgoing: Outgoing,
    signal: AbortSignal,
    on: {
      /** Bytes have come, and the caller takes them now. */
      readonly progress: () => void;
      /** More bytes are awaited from the server. */
      readonly wait: () => void;
      /** The rest is read without handing it on. */
      readonly discard: () => void;
    },
  ): Promise<Attempt> {
    const { connections } = this.parts;
    const { id, address } = grant.server;
    let run: RunAnswer | undefined;
    let status = 0;
    let discard: Attempt | undefined;
    let discarded = 0;
    const facts = (code: number, headers: ResponseHeaders): ResponseFacts =>
      decodeResponseHead(this.#head.id, code, headers);
    // A connection that brings another request's answer may stay behind, so it is not only passed over.
    const isOurs = (code: number, headers: ResponseHeaders): boolean =>
      !belongsToOtherRequest(facts(code, headers));
    for await (const piece of connections.send(id, address, outgoing, signal, isOurs)) {
      switch (piece.kind) {
        case 'head': {
          ({ status } = piece);
          const judgement = classifyResponse(facts(status, piece.headers), {
            hasRelayedPart: this.#caller.isOpen,
            mayRetry: mayRepeat,
          });
          switch (judgement.kind) {
            case 'accepted':
              run = answer.nextRun(piece);
              if (run === undefined) return this.#broken('another kind of answer');
              // The head of a stream may come long before its first event, which has the time that was predicted.
              if (route.kind !== 'streaming') {
                on.progress();
                on.wait();
              }
              break;
            case 'notRun':
              discard = { kind: 'notRun', status };
              on.discard();
              break;
            case 'unusable':
              discard = this.#broken(judgement.detail);
              on.discard();
              break;
          }
          break;
        }
        case 'bytes': {
          if (discard !== undefined) {
            discarded += piece.bytes.length;
            if (discarded > discardLimit) return discard;
            break;
          }
          if (run === undefined) break;
          on.progress();
          const taken = await run.take(piece.bytes);
          on.wait();
          if (taken.kind === 'unusable') return this.#broken(taken.detail);
          if (taken.kind === 'handedOn') this.#noteFirstByte();
          break;
        }
        case 'end': {
          if (discard !== undefined) return discard;
          if (run === undefined) return { kind: 'failed', detail: 'no answer' };
          const taken = run.end();
          if (taken.kind === 'unusable') return this.#broken(taken.detail);
          this.#noteFirstByte();
          return { kind: 'delivered', status };
        }
        case 'failed':
          return this.#failedAttempt(piece.failure.verdict, piece.failure.detail, signal, discard);
        case 'events':
        case 'alive':
          // Bodies are asked for as bytes.
          break;
      }
    }
    return this.#failedAttempt('mayHaveRun', 'the connection ended', signal, discard);
  }

  #failedAttempt(
    verdict: string,
    detail: string,
    signal: AbortSignal,
    discard: Attempt | undefined,
  ): Attempt {
    if (discard !== undefined) return discard;
    if (signal.aborted) {
      const cause = signal.reason as Cause;
      return { kind: 'ended', cause };
    }
    if (verdict === 'notRun') return { kind: 'unsent', detail };
    return this.#broken(detail);
  }

  #broken(detail: string): Attempt {
    return { kind: this.#caller.isOpen ? 'cut' : 'failed', detail };
  }

  #noteFirstByte(): void {
    this.#firstByte ??= this.parts.clock.now() - this.#arrived;
  }

  #reply(status: number, reason: string, headers: Readonly<Record<string, string>> = {}): void {
    // The rest of a body that is too large is not read, so its connection cannot be used again.
    const closes = this.parts.isClosing() || status === statuses.tooLarge;
    this.#caller.reply(status, reason, headers, closes);
  }

  /** Work that may not be repeated goes on when its caller leaves; everything else stops. */
  #attemptSignal(route: Route, silence: AbortSignal): AbortSignal {
    const attempt = new AbortController();
    const stop = (reason: unknown): void => {
      if (reason === 'callerGone' && route.kind === 'nonIdempotent') return;
      attempt.abort(reason);
    };
    for (const signal of [this.#ending.signal, silence]) {
      if (signal.aborted) stop(signal.reason);
      signal.addEventListener('abort', () => {
        stop(signal.reason);
      });
    }
    return attempt.signal;
  }

  #chooseService(route: Route): string {
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.parts.random() * total;
    for (const { service, weight } of route.shares) {
      point -= weight;
      if (point < 0) return service;
    }
    return route.shares.at(-1)?.service ?? '';
  }

  /** No further server is tried. */
  #giveUp(reason: string, verdict: Verdict, retryAfter: Milliseconds): void {
    switch (verdict) {
      case 'notRun':
        this.#refuse(reason, retryAfter);
        return;
      case 'mayHaveRun':
        this.#fail(reason, verdict);
    }
  }

  /** The request has not run and will not. */
  #refuse(reason: string, retryAfter: Milliseconds): void {
    this.parts.metrics.refusals.inc({ reason });
    if (this.#caller.isOpen) {
      this.#fail(reason, 'notRun');
      return;
    }
    this.#reply(statuses.refused, reason, {
      [headerNames.retryAfter]: (retryAfter / 1_000).toFixed(2),
    });
    this.#end('refused', reason);
  }

  /** A final answer of this router other than a refusal. */
  #reject(status: number, reason: string): void {
    this.#reply(status, reason);
    this.#end('rejected', reason);
  }

  /** The request may have run, or a part of its answer was handed on. */
  #fail(reason: string, verdict: Verdict): void {
    if (this.#caller.isOpen) this.#caller.breakOff();
    else this.#reply(reason === 'deadline' ? statuses.timeout : statuses.failed, reason);
    this.#end('failed', reason, verdict);
  }

  #end(outcome: string, reason?: string, verdict?: Verdict): void {
    const { clock, log, metrics, dispatcher, late } = this.parts;
    metrics.requests.inc({ outcome });
    const route = this.#route;
    const basis = this.#basis;
    if (this.#firstByte !== undefined && route !== undefined)
      metrics.latency.observe({ kind: route.kind }, this.#firstByte / 1_000);
    log.write('request', {
      id: this.#head.id,
      outcome,
      reason,
      verdict,
      status: this.#caller.status,
      connection: this.connection.number,
      onConnection: this.connection.requests,
      via: this.connection.via,
      declared: this.#caller.declared,
      handedOn: this.#caller.handedOn,
      route: route?.name,
      team: this.#team?.name,
      priority: this.#team?.priority ?? route?.priority,
      tokens: tokensOf(this.#head.prompt),
      timeLeft: this.#head.timeLeft,
      first: rounded(this.#firstByte),
      took: Math.round(clock.now() - this.#arrived),
      desired: dispatcher.table?.state.version,
      waiting: dispatcher.waiting,
      late: Math.round(late()),
      acceptWait: rounded(this.#acceptWait),
      reportAge: rounded(dispatcher.reportAge()),
      basis: basis === undefined ? undefined : roundedBasis(basis),
      attempts: this.#traces,
    });
  }
}

function isRepeatable(route: Route): boolean {
  switch (route.kind) {
    case 'idempotent':
      return true;
    case 'streaming':
      return route.canResume;
    case 'nonIdempotent':
      return false;
  }
}

function tokensOf(prompt: Prompt | undefined): readonly number[] | undefined {
  return prompt === undefined ? undefined : [prompt.promptTokens, prompt.outputLimit];
}

function rounded(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}

function roundedBasis({ server, start, limit, received }: OverloadBasis): OverloadBasis {
  return {
    server,
    start: Math.round(start),
    limit: Math.round(limit),
    received: Math.round(received),
  };
}

function hostOf(request: IncomingMessage): string {
  return (request.headers.host ?? '').replace(/:\d+$/, '').toLowerCase();
}
