// Serves one request of a caller from its arrival to the end of its response: sends it to servers, forwards a response, and
// answers with an error if no server gives a usable one.

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

/**
 * A retriable response without bytes for this time is requested from another server, or continued there if it is a
 * stream; callers abandon a silent stream after about 2 s.
 */
const eventSilence: Milliseconds = 1_300;
/** A retriable request is sent to another server when its first bytes are later than predicted by this time. */
const firstSilence: Milliseconds = 1_500;
/** Bounds on reading a discarded response to its end, which keeps its connection reusable. */
const discardTime: Milliseconds = 200;
/** In bytes. */
const discardLimit = 16 * 1024;
/** Maximum of servers tried for one request: those that cannot be reached do not count as attempts. */
const mostTries = 6;
/** `retry-after` of a refusal while a router starts or stops: the caller finds another router at once. */
const otherRouterRetry: Milliseconds = 300;

/** `retry-after` of a router that is behind: it clears its backlog in about this time if no more requests come. */
const behindRetry: Milliseconds = 1_000;

/** Statuses of this router's own responses. Only `refused` promises that the request has not run. */
const statuses = {
  unknownKey: 401,
  unknownRoute: 404,
  tooLarge: 413,
  failed: 502,
  refused: 503,
  timeout: 504,
} as const;

/** Components that serving a request needs. */
export interface RelayParts {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly connections: ServerConnections;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether new requests are refused because this router stops. */
  readonly isClosing: () => boolean;
  /** Whether new requests are refused because the event loop has not caught up with earlier ones. */
  readonly isBehind: () => boolean;
  /** Event-loop lag of this router. */
  readonly late: () => Milliseconds;
  readonly random: () => number;
}

/** The connection of a request and the request's place on it, for the log. */
export interface ConnectionUse {
  /** Number of the connection, counted from the start of this router. */
  readonly number: number;
  /** Requests on the connection so far, this one included. */
  readonly requests: number;
  /** IP address of the router that handed the connection over; undefined if the caller connected to this one. */
  readonly via: string | undefined;
}

/** Whether the request may have run, over all attempts. */
type Verdict = 'notRun' | 'mayHaveRun';

/** One attempt at one server. */
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
  readonly #arrivedAt: Milliseconds;
  readonly #head: RequestHead;
  readonly #callerResponse: CallerResponse;
  readonly #abortController = new AbortController();
  readonly #attemptLog: Trace[] = [];
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
    this.#arrivedAt = parts.clock.now();
    this.#head = decodeRequestHead(request.headers);
    this.#callerResponse = CallerResponse.create(
      response,
      this.#head.id,
      this.#abortController.signal,
    );
  }

  static create(
    parts: RelayParts,
    request: IncomingMessage,
    response: ServerResponse,
    connection: ConnectionUse,
  ): Relay {
    return new Relay(parts, request, response, connection);
  }

  /** Refuses the request without reading its body, since its connection waited too long to be accepted. */
  refuseOld(wait: Milliseconds): void {
    this.#acceptWait = wait;
    this.#refuse('behind', behindRetry);
  }

  /** Serves the request to its end. Never rejects. */
  async run(): Promise<void> {
    const { response, request } = this;
    const { socket } = request;
    const onClose = (): void => {
      if (!response.writableFinished) this.#abortController.abort('callerGone');
    };
    response.on('close', onClose);
    // A pipelined response that is queued behind an earlier one gets no event when its connection closes.
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
      this.#finish('left', 'unread');
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
    const deadline =
      this.#arrivedAt + Math.min(this.#head.timeLeft ?? route.timeout, route.timeout);
    this.#deadlineTimer = setTimeout(() => {
      this.#abortController.abort('deadline');
    }, deadline - clock.now());
    const service = this.#chooseService(route);
    dispatcher.retryBudget.deposit(service);
    const avoid = new Set<string>();
    const answer = ResponseAssembler.create(clock, this.#callerResponse, route);
    let verdict: Verdict = 'notRun';
    let sends = 0;
    for (let tries = 0; tries < mostTries; tries += 1) {
      const grant = await dispatcher.acquire(
        {
          route,
          service,
          team: this.#team,
          prompt: this.#head.prompt,
          arrived: this.#arrivedAt,
          deadline,
          avoid,
        },
        this.#abortController.signal,
      );
      if (grant.kind === 'refused') {
        this.#basis = grant.basis;
        this.#endWithoutResponse(grant.reason, verdict, grant.retryAfter);
        return;
      }
      if (tries === 0) metrics.waiting.observe((clock.now() - this.#arrivedAt) / 1_000);
      const mayRepeat = sends + 1 < route.maxAttempts && isRepeatable(route);
      const sending = { route, grant, body, deadline, mayRepeat, answer };
      const attempt = await this.#runAttempt(sending);
      avoid.add(grant.server.id);
      switch (attempt.kind) {
        case 'delivered':
          this.#finish('delivered');
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
        !this.#abortController.signal.aborted;
      if (!isAllowed || !dispatcher.retryBudget.withdraw(service)) {
        const reason = verdict === 'notRun' ? 'serverRefused' : attempt.kind;
        this.#endWithoutResponse(reason, verdict, otherRouterRetry);
        return;
      }
      metrics.repeats.inc({ reason: attempt.kind });
    }
    this.#endWithoutResponse('unreachable', verdict, otherRouterRetry);
  }

  async #runAttempt(sending: Sending): Promise<Attempt> {
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
      // There is no silence timeout for a response that no other server can continue.
      if (!mayRepeat || !answer.isContinuable) return;
      watch = setTimeout(() => {
        silence.abort('silence');
      }, within);
    };
    expectBytes(grant.predicted + firstSilence);
    const handedOnBefore = this.#callerResponse.handedOn;
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
    this.#attemptLog.push({
      server: server.id,
      predicted: Math.round(grant.predicted),
      missing: grant.missing,
      at: Math.round(sent - this.#arrivedAt),
      first: rounded(first),
      took: Math.round(clock.now() - sent),
      handedOn: this.#callerResponse.handedOn - handedOnBefore,
      result: describe(attempt),
    });
    return attempt;
  }

  /** Forwards the response of one server. */
  async #relay(
    { route, grant, mayRepeat, answer }: Sending,
    outgoing: Outgoing,
    signal: AbortSignal,
    on: {
      /** Bytes have arrived and are being forwarded to the caller. */
      readonly progress: () => void;
      /** More bytes are awaited from the server. */
      readonly wait: () => void;
      /** The rest of the response is read and discarded. */
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
    // A connection that carries another request's response may stay one response behind, so it is closed, not reused.
    const isOurs = (code: number, headers: ResponseHeaders): boolean =>
      !belongsToOtherRequest(facts(code, headers));
    for await (const piece of connections.send(id, address, outgoing, signal, isOurs)) {
      switch (piece.kind) {
        case 'head': {
          ({ status } = piece);
          const judgement = classifyResponse(facts(status, piece.headers), {
            hasRelayedPart: this.#callerResponse.isOpen,
            mayRetry: mayRepeat,
          });
          switch (judgement.kind) {
            case 'accepted':
              run = answer.nextRun(piece);
              if (run === undefined) return this.#brokenAttempt('another kind of answer');
              // The head of a stream may come long before its first event; the prediction is for that event.
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
              discard = this.#brokenAttempt(judgement.detail);
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
          if (taken.kind === 'unusable') return this.#brokenAttempt(taken.detail);
          if (taken.kind === 'handedOn') this.#noteFirstByte();
          break;
        }
        case 'end': {
          if (discard !== undefined) return discard;
          if (run === undefined) return { kind: 'failed', detail: 'no answer' };
          const taken = run.end();
          if (taken.kind === 'unusable') return this.#brokenAttempt(taken.detail);
          this.#noteFirstByte();
          return { kind: 'delivered', status };
        }
        case 'failed':
          return this.#failedAttempt(piece.failure.verdict, piece.failure.detail, signal, discard);
        case 'events':
        case 'alive':
          // Not used: bodies are requested as bytes.
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
    return this.#brokenAttempt(detail);
  }

  #brokenAttempt(detail: string): Attempt {
    return { kind: this.#callerResponse.isOpen ? 'cut' : 'failed', detail };
  }

  #noteFirstByte(): void {
    this.#firstByte ??= this.parts.clock.now() - this.#arrivedAt;
  }

  #reply(status: number, reason: string, headers: Readonly<Record<string, string>> = {}): void {
    // The rest of a body that is too large is not read, so its connection cannot be reused.
    const closes = this.parts.isClosing() || status === statuses.tooLarge;
    this.#callerResponse.reply(status, reason, headers, closes);
  }

  /** Aborts at the deadline, on silence, and when the caller has left unless the request is non-idempotent. */
  #attemptSignal(route: Route, silence: AbortSignal): AbortSignal {
    const attempt = new AbortController();
    const stop = (reason: unknown): void => {
      if (reason === 'callerGone' && route.kind === 'nonIdempotent') return;
      attempt.abort(reason);
    };
    for (const signal of [this.#abortController.signal, silence]) {
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

  /** Ends the request without trying a further server. */
  #endWithoutResponse(reason: string, verdict: Verdict, retryAfter: Milliseconds): void {
    switch (verdict) {
      case 'notRun':
        this.#refuse(reason, retryAfter);
        return;
      case 'mayHaveRun':
        this.#fail(reason, verdict);
    }
  }

  /** Ends a request that has not run and will not. */
  #refuse(reason: string, retryAfter: Milliseconds): void {
    this.parts.metrics.refusals.inc({ reason });
    if (this.#callerResponse.isOpen) {
      this.#fail(reason, 'notRun');
      return;
    }
    this.#reply(statuses.refused, reason, {
      [headerNames.retryAfter]: (retryAfter / 1_000).toFixed(2),
    });
    this.#finish('refused', reason);
  }

  /** Answers with an error of the caller's, which a retry would not change. */
  #reject(status: number, reason: string): void {
    this.#reply(status, reason);
    this.#finish('rejected', reason);
  }

  /** Ends a request that may have run, or whose response was partly forwarded. */
  #fail(reason: string, verdict: Verdict): void {
    if (this.#callerResponse.isOpen) this.#callerResponse.breakOff();
    else this.#reply(reason === 'deadline' ? statuses.timeout : statuses.failed, reason);
    this.#finish('failed', reason, verdict);
  }

  #finish(outcome: string, reason?: string, verdict?: Verdict): void {
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
      status: this.#callerResponse.status,
      connection: this.connection.number,
      onConnection: this.connection.requests,
      via: this.connection.via,
      declared: this.#callerResponse.declared,
      handedOn: this.#callerResponse.handedOn,
      route: route?.name,
      team: this.#team?.name,
      priority: this.#team?.priority ?? route?.priority,
      tokens: tokensOf(this.#head.prompt),
      timeLeft: this.#head.timeLeft,
      first: rounded(this.#firstByte),
      took: Math.round(clock.now() - this.#arrivedAt),
      desired: dispatcher.table?.state.version,
      waiting: dispatcher.waiting,
      late: Math.round(late()),
      acceptWait: rounded(this.#acceptWait),
      reportAge: rounded(dispatcher.reportAge()),
      basis: basis === undefined ? undefined : roundedBasis(basis),
      attempts: this.#attemptLog,
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
