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
  type PlannedStops,
  type Prompt,
  type Rejection,
  type Request,
  type RequestOutcome,
  type Route,
  type Team,
  type TeamCounts,
} from '@catkinwheel/coordination/routing';
import {
  decodeResponseHead,
  decodeRequestHead,
  decodeServerNotice,
  encodeServerHeaders,
  headerNames,
  isFieldValue,
  isMisdirected,
  type ResponseHeaders,
  type RequestHead,
  type ServerNotice,
} from '@catkinwheel/platform';
import { mayHaveRun, type Clock, type Failure, type Milliseconds } from '@catkinwheel/state';
import {
  describeOutcome,
  serverOutcomeOf,
  type AttemptOutcome,
  type AbortCause,
  type AttemptLogEntry,
} from './attempt.js';
import { ResponseAssembler, type RunResponse } from './responseAssembler.js';
import type { BodyBudget } from './bodyBudget.js';
import { CallerResponse } from './callerResponse.js';
import type { Faults } from './faults.js';
import type { IntakeLoop } from './intakeLoop.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { readBody } from './requestBody.js';
import { SilenceWatch, type ServerSearch } from './silenceWatch.js';
import type { Cancellation, Outgoing, ServerConnections } from './serverConnections.js';

/**
 * Another server is sought for a retriable response without bytes for this time, or for the rest of it if it is a stream;
 * callers abandon a silent stream after about 2 s.
 */
const silenceTimeout: Milliseconds = 1_300;
/** Another server is sought for a retriable request when its first bytes are later than predicted by this time. */
const firstBytesMargin: Milliseconds = 1_500;
/** Events of a connection whose caller has left. */
const leavingEvents = ['end', 'close'] as const;
/** Bounds on reading a discarded response to its end, which keeps its connection reusable. */
const discardTimeout: Milliseconds = 200;
/** In bytes. */
const maxDiscardBytes = 16 * 1024;
/** Maximum of servers tried for one request: those that cannot be reached do not count as attempts. */
const maxServerTries = 6;
/** `retry-after` of a refusal while a router starts or stops: the caller finds another router at once. */
const otherRouterRetryAfter: Milliseconds = 300;

/** `retry-after` of a router that is behind: it clears its backlog in about this time if no more requests come. */
const behindRetryAfter: Milliseconds = 1_000;

/** `retry-after` of a refusal for lack of memory for bodies, which requests under way release in about this time. */
const memoryRetryAfter: Milliseconds = 1_000;

/**
 * While more is asked of the router than it has processor time for, events that a server sends within this time are forwarded together,
 * which takes less of it. Callers count events as late that take several times longer.
 */
const coalescingTime: Milliseconds = 40;

/** Statuses of this router's own responses. Only `refused` and `bodyTimeout` promise that the request has not run. */
const statuses = {
  invalidHeader: 400,
  unknownKey: 401,
  unknownRoute: 404,
  bodyTimeout: 408,
  tooLarge: 413,
  failed: 502,
  refused: 503,
  timeout: 504,
} as const;

/** Components that serving a request needs. */
export interface RequestDependencies {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly connections: ServerConnections;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly faults: Faults;
  readonly stops: PlannedStops;
  /** Memory for request bodies. */
  readonly bodyBudget: BodyBudget;
  readonly teamCounts: TeamCounts;
  /** Requests that wait for processor time. */
  readonly intake: IntakeLoop;
  /** Whether new requests are refused because the event loop has not caught up with earlier ones. */
  readonly isBehind: () => boolean;
  /** Event-loop lag of this router. */
  readonly late: () => Milliseconds;
  readonly random: () => number;
}

/** The connection of a request and the request's place on it. */
export interface ConnectionInfo {
  /** When the request arrived, from which its route's timeout counts. */
  readonly arrivedAt: Milliseconds;
  /** Number of the connection, counted from the start of this router. */
  readonly number: number;
  /** Requests on the connection so far, this one included. */
  readonly requests: number;
  /** IP address of the router that handed the connection over; undefined if the caller connected to this one. */
  readonly via: string | undefined;
  /** Whether the response, whose head is about to be sent, tells the caller that it closes the connection. */
  readonly announceClose: () => boolean;
}

/** Whether the request may have run, over all attempts. */
type Verdict = 'notRun' | 'mayHaveRun';

/** One attempt at one server. */
interface AttemptOptions {
  readonly route: Route;
  readonly grant: Grant;
  readonly body: Buffer;
  readonly deadline: Milliseconds;
  /** Whether the request may be sent to a further server. */
  readonly mayRetry: boolean;
  readonly answer: ResponseAssembler;
  /** Finds a server that takes over if this one is silent. */
  readonly findReplacement: ServerSearch;
}

/** A request that is being served. */
export class RequestHandler {
  readonly #arrivedAt: Milliseconds;
  readonly #head: RequestHead;
  readonly #callerResponse: CallerResponse;
  readonly #abortController = new AbortController();
  readonly #attemptLog: AttemptLogEntry[] = [];
  #deadlineTimer: NodeJS.Timeout | undefined;
  /** Ends the request before its connection does. */
  #stopTimer: NodeJS.Timeout | undefined;
  /** Aborts a wait for a server. */
  #waitController = new AbortController();
  #firstByte: Milliseconds | undefined;
  /** When bytes of a response were last forwarded. */
  #forwardedAt: Milliseconds | undefined;
  #acceptWait: Milliseconds | undefined;
  #route: Route | undefined;
  /** Whether the rest of the body is not read. */
  #isPartlyRead = false;
  /** Bytes of the body that are reserved in the budget. */
  #bodySize = 0;
  #team: Team | undefined;
  #basis: OverloadBasis | undefined;
  /** Whether a server ended the connection of an attempt. */
  #isDisconnected = false;
  /** Whether the retry budget was used up when a further server was last to be tried. */
  #lacksBudget = false;

  private constructor(
    private readonly dependencies: RequestDependencies,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly connection: ConnectionInfo,
  ) {
    this.#arrivedAt = connection.arrivedAt;
    this.#head = decodeRequestHead(request.headers);
    this.#callerResponse = CallerResponse.create(
      response,
      this.#head.id,
      this.#abortController.signal,
      connection.announceClose,
    );
  }

  static create(
    dependencies: RequestDependencies,
    request: IncomingMessage,
    response: ServerResponse,
    connection: ConnectionInfo,
  ): RequestHandler {
    return new RequestHandler(dependencies, request, response, connection);
  }

  /** The caller's id of the request, empty if it has none. */
  get id(): string {
    return this.#head.id;
  }

  /** Name of the team that holds the caller's key; empty if there is none. */
  get team(): string {
    return this.dependencies.dispatcher.table?.team(this.#head.key)?.name ?? '';
  }

  /** Refuses the request without reading its body, since this router has no processor time for it. */
  refuseForProcessorTime(retryAfter: Milliseconds): void {
    this.#team = this.dependencies.dispatcher.table?.team(this.#head.key);
    this.#refuse('processorTime', retryAfter);
  }

  /** Refuses the request without reading its body, since its connection waited too long to be accepted. */
  refuseAfterAcceptWait(wait: Milliseconds): void {
    this.#acceptWait = wait;
    this.#team = this.dependencies.dispatcher.table?.team(this.#head.key);
    this.#refuse('behind', behindRetryAfter);
  }

  /** Serves the request to its end. Never rejects. */
  async run(): Promise<void> {
    const { response, request } = this;
    const { socket } = request;
    const onClose = (): void => {
      if (!response.writableFinished) this.#abortController.abort('callerGone');
    };
    response.on('close', onClose);
    // A pipelined response that is queued behind an earlier one gets no event when its connection closes. The end of what the
    // caller sends is read some turns before that.
    for (const event of leavingEvents) socket.on(event, onClose);
    const unsubscribe = this.dependencies.stops.onChange(() => {
      this.#onPlannedStop();
    });
    this.#onPlannedStop();
    try {
      await this.#serve();
    } catch (error) {
      this.#recordFault(error);
      try {
        this.#fail('internal', 'mayHaveRun');
      } catch (failError) {
        this.#recordFault(failError);
        response.destroy();
      }
    } finally {
      for (const event of leavingEvents) socket.off(event, onClose);
      unsubscribe();
      clearTimeout(this.#deadlineTimer);
      clearTimeout(this.#stopTimer);
      this.dependencies.bodyBudget.release(this.#bodySize);
    }
  }

  #recordFault(error: unknown): void {
    const { faults } = this.dependencies;
    faults.record('request', error, { id: this.#head.id, path: this.request.url });
  }

  async #serve(): Promise<void> {
    const { dispatcher, stops, isBehind, bodyBudget } = this.dependencies;
    const { table } = dispatcher;
    const route = table?.route(hostOf(this.request), this.request.url ?? '/');
    this.#route = route;
    if (route !== undefined) this.#limitTime(route);
    const limit = table?.state.limits.body ?? Infinity;
    const { signal } = this.#abortController;
    const body = await readBody(this.request, limit, bodyBudget, signal);
    this.#isPartlyRead = body === 'aborted' || body === 'tooLarge';
    if (body === 'gone' || body === 'aborted') {
      this.#endUnread(body === 'gone' ? 'callerGone' : (signal.reason as AbortCause));
      return;
    }
    if (body === 'tooLarge') {
      this.#reject(statuses.tooLarge, 'bodyTooLarge');
      return;
    }
    if (body === 'noMemory') {
      this.#refuse('bodyMemory', memoryRetryAfter);
      return;
    }
    this.#bodySize = body.length;
    if (table === undefined || !stops.takesRequests(this.connection.via)) {
      this.#refuse(table === undefined ? 'noDesiredState' : 'stopping', otherRouterRetryAfter);
      return;
    }
    if (isBehind()) {
      this.#refuse('behind', behindRetryAfter);
      return;
    }
    if (this.#head.problem !== undefined) {
      this.#reject(statuses.invalidHeader, this.#head.problem);
      return;
    }
    if (route === undefined) {
      this.#reject(statuses.unknownRoute, 'unknownRoute');
      return;
    }
    if (table.state.teams !== undefined && !route.isPublic) {
      this.#team = table.team(this.#head.key);
      if (this.#team === undefined) {
        this.#reject(statuses.unknownKey, 'unknownKey');
        return;
      }
      if (!isFieldValue(this.#team.name)) {
        this.#refuse('unsendable', otherRouterRetryAfter);
        return;
      }
    }
    await this.#tryServers(route, body);
  }

  /**
   * This router, or the one that holds the connection, may have to stop: the response is complete, or replaced by an error, before
   * the connection ends. A request that still waits for a server is judged anew.
   */
  #onPlannedStop(): void {
    const { clock, stops } = this.dependencies;
    const endsAt = stops.endOf(this.connection.via);
    if (endsAt === Infinity) return;
    clearTimeout(this.#stopTimer);
    this.#stopTimer = setTimeout(() => {
      this.#abortController.abort('stopping');
    }, endsAt - clock.now());
    this.#waitController.abort();
  }

  /** Finds a server; asks again if a planned stop becomes known meanwhile. */
  async #acquire(request: Request, signal: AbortSignal): Promise<Grant | Rejection> {
    const { dispatcher, stops } = this.dependencies;
    for (;;) {
      const wait = new AbortController();
      this.#waitController = wait;
      const onAbort = (): void => {
        wait.abort();
      };
      if (signal.aborted) onAbort();
      else signal.addEventListener('abort', onAbort);
      const stopsAt = stops.endOf(this.connection.via);
      const grant = await dispatcher.acquire({ ...request, stopsAt }, wait.signal);
      signal.removeEventListener('abort', onAbort);
      const isInterrupted = wait.signal.aborted && !signal.aborted;
      if (grant.kind === 'server' || !isInterrupted) return grant;
    }
  }

  /** Time after which the response is useless. */
  #deadlineOf(route: Route): Milliseconds {
    return this.#arrivedAt + Math.min(this.#head.timeLeft ?? route.timeout, route.timeout);
  }

  /** Aborts the request at its deadline, whatever it waits for by then. */
  #limitTime(route: Route): void {
    this.#deadlineTimer = setTimeout(
      () => {
        this.#abortController.abort('deadline');
      },
      this.#deadlineOf(route) - this.dependencies.clock.now(),
    );
  }

  /** Ends a request whose body has not come to its end. */
  #endUnread(cause: AbortCause): void {
    switch (cause) {
      case 'callerGone':
        this.#team = this.dependencies.dispatcher.table?.team(this.#head.key);
        this.#finish('left', 'unread');
        return;
      case 'deadline':
        this.#reject(statuses.bodyTimeout, 'bodyTimeout');
        return;
      case 'stopping':
        this.#refuse(cause, otherRouterRetryAfter);
    }
  }

  async #tryServers(route: Route, body: Buffer): Promise<void> {
    const { dispatcher, metrics, clock } = this.dependencies;
    const deadline = this.#deadlineOf(route);
    const service = this.#chooseService(route);
    dispatcher.retryBudget.deposit(service);
    const avoid = new Set<string>();
    const answer = ResponseAssembler.create(clock, this.#callerResponse, route);
    let verdict: Verdict = 'notRun';
    let sentCount = 0;
    let replacement: Grant | undefined;
    const requestWithout = (servers: ReadonlySet<string>): Request => ({
      route,
      service,
      team: this.#team,
      prompt: this.#head.prompt,
      arrived: this.#arrivedAt,
      deadline,
      avoid: servers,
      isContinuation: this.#callerResponse.isOpen,
      progressedAt: this.#forwardedAt,
    });
    for (let tries = 0; tries < maxServerTries; tries += 1) {
      const grant: Grant | Rejection =
        replacement ?? (await this.#acquire(requestWithout(avoid), this.#abortController.signal));
      replacement = undefined;
      if (grant.kind === 'refused') {
        this.#basis = grant.basis;
        if (grant.reason === 'internal') this.#recordFault(grant.error);
        this.#endWithoutResponse(grant.reason, verdict, grant.retryAfter);
        return;
      }
      if (tries === 0) metrics.waiting.observe((clock.now() - this.#arrivedAt) / 1_000);
      avoid.add(grant.server.id);
      const mayRetry =
        sentCount + 1 < route.maxAttempts && tries + 1 < maxServerTries && isRetriable(route);
      const findReplacement: ServerSearch = (signal) =>
        this.#findReplacement(requestWithout(avoid), signal);
      const options = { route, grant, body, deadline, mayRetry, answer, findReplacement };
      const attempt = await this.#runAttempt(options).catch((error: unknown) => {
        grant.finish();
        throw error;
      });
      switch (attempt.kind) {
        case 'delivered':
          this.#finish('delivered');
          return;
        case 'ended':
          this.#fail(attempt.cause, 'mayHaveRun');
          return;
        case 'replaced':
          verdict = 'mayHaveRun';
          sentCount += 1;
          replacement = attempt.by;
          metrics.repeats.inc({ reason: 'silence' });
          continue;
        case 'unsendable':
          this.#endWithoutResponse(attempt.kind, verdict, otherRouterRetryAfter);
          return;
        case 'unsent':
          continue;
        case 'notRun':
          if (isMisdirected(attempt.status)) continue;
          break;
        case 'failed':
        case 'cut':
          verdict = 'mayHaveRun';
          this.#isDisconnected ||= attempt.isDisconnected;
          break;
      }
      sentCount += 1;
      const isAllowed =
        sentCount < route.maxAttempts &&
        (attempt.kind === 'notRun' || isRetriable(route)) &&
        answer.isContinuable &&
        !this.#abortController.signal.aborted;
      const hasBudget = isAllowed && dispatcher.retryBudget.withdraw(service);
      if (isAllowed) this.#lacksBudget = !hasBudget;
      if (!hasBudget) {
        const reason = verdict === 'notRun' ? 'serverRefused' : attempt.kind;
        this.#endWithoutResponse(reason, verdict, otherRouterRetryAfter);
        return;
      }
      metrics.repeats.inc({ reason: attempt.kind });
    }
    this.#endWithoutResponse('unreachable', verdict, otherRouterRetryAfter);
  }

  /** Finds a server that takes over from one that is silent. */
  async #findReplacement(request: Request, signal: AbortSignal): Promise<Grant | undefined> {
    const { dispatcher, clock } = this.dependencies;
    const { retryBudget } = dispatcher;
    // A response that comes later than its caller waits is not sought; the silent server may still go on.
    const waitsFrom = request.progressedAt ?? request.arrived;
    if (clock.now() > waitsFrom + request.route.patience) return undefined;
    this.#lacksBudget = !retryBudget.allows(request.service);
    if (this.#lacksBudget) return undefined;
    try {
      const grant = await this.#acquire(request, signal);
      if (grant.kind === 'refused') {
        if (grant.reason === 'internal') this.#recordFault(grant.error);
        return undefined;
      }
      if (!signal.aborted && retryBudget.withdraw(request.service)) return grant;
      grant.finish();
    } catch (error) {
      this.#recordFault(error);
    }
    return undefined;
  }

  async #runAttempt(options: AttemptOptions): Promise<AttemptOutcome> {
    const { route, grant, body, deadline, mayRetry, answer } = options;
    const { clock, connections, metrics, dispatcher, log } = this.dependencies;
    const { server } = grant;
    const sentAt = clock.now();
    const silenceController = new AbortController();
    const watch = SilenceWatch.create(
      options.findReplacement,
      () => {
        silenceController.abort('silence');
      },
      () => {
        grant.silent();
      },
    );
    const cancellation: Cancellation = {
      aborted: this.#attemptSignal(route, silenceController.signal),
      withdrawn: this.#abortController.signal,
    };
    const headers = encodeServerHeaders(this.request.headers, {
      server: server.id,
      team: this.#team?.name,
      timeLeft: deadline - sentAt,
      lastEvent: answer.lastEvent ?? this.#head.lastEvent,
    });
    const outgoing = {
      method: this.request.method ?? 'GET',
      path: this.request.url ?? '/',
      headers,
      body: body.length > 0 ? body : null,
    };
    let discardTimer: NodeJS.Timeout | undefined;
    const expectBytes = (within: Milliseconds): void => {
      if (mayRetry && answer.isContinuable) watch.expect(within);
      else watch.clear();
    };
    expectBytes(grant.predicted + firstBytesMargin);
    const forwardedBefore = this.#callerResponse.handedOn;
    let first: Milliseconds | undefined;
    let leaving: true | undefined;
    const onNotice = ({ isLeaving, holdOff }: ServerNotice): void => {
      if (holdOff !== undefined && dispatcher.recordHoldOff(server, holdOff))
        log.write('server holds off', { server: server.id, for: holdOff, request: this.#head.id });
      if (!isLeaving) return;
      leaving = true;
      if (!dispatcher.recordLeaving(server)) return;
      log.write('server leaving', {
        server: server.id,
        source: 'response',
        request: this.#head.id,
      });
    };
    const onProgress = (status: number): void => {
      if (isSuccess(status)) grant.progressed();
      if (first === undefined) {
        first = clock.now() - sentAt;
        grant.started();
        metrics.predictionError.observe((first - grant.predicted) / 1_000);
      }
      watch.clear();
    };
    const onDiscard = (): void => {
      watch.clear();
      discardTimer = setTimeout(() => {
        silenceController.abort('silence');
      }, discardTimeout);
    };
    const onWait = (): void => {
      expectBytes(silenceTimeout);
    };
    const callbacks = {
      notice: onNotice,
      progress: onProgress,
      wait: onWait,
      discard: onDiscard,
      replacement: () => watch.replacement,
    };
    let attempt: AttemptOutcome | undefined;
    try {
      attempt = await this.#forwardResponse(options, outgoing, cancellation, callbacks);
    } finally {
      watch.clear();
      clearTimeout(discardTimer);
      if (attempt?.kind !== 'replaced') watch.replacement?.finish();
    }
    if (attempt.kind === 'replaced') connections.retire(server);
    grant.finish(serverOutcomeOf(attempt));
    this.#attemptLog.push({
      server: server.id,
      born: server.born,
      cold: grant.coldShare,
      predicted: Math.round(grant.predicted),
      missing: grant.missing,
      at: Math.round(sentAt - this.#arrivedAt),
      first: round(first),
      took: Math.round(clock.now() - sentAt),
      handedOn: this.#callerResponse.handedOn - forwardedBefore,
      leaving,
      result: describeOutcome(attempt),
    });
    return attempt;
  }

  /** Forwards the response of one server. */
  async #forwardResponse(
    { route, grant, mayRetry, answer }: AttemptOptions,
    outgoing: Outgoing,
    cancellation: Cancellation,
    callbacks: {
      /** The server said something about itself in the head of a response. */
      readonly notice: (notice: ServerNotice) => void;
      /** Bytes have arrived and are being forwarded to the caller. */
      readonly progress: (status: number) => void;
      /** More bytes are awaited from the server. */
      readonly wait: () => void;
      /** The rest of the response is read and discarded. */
      readonly discard: () => void;
      /** The server that takes over, if the attempt was aborted for silence. */
      readonly replacement: () => Grant | undefined;
    },
  ): Promise<AttemptOutcome> {
    const { connections } = this.dependencies;
    const { aborted: signal } = cancellation;
    let run: RunResponse | undefined;
    let status = 0;
    let discard: AttemptOutcome | undefined;
    let discardedBytes = 0;
    const replacedBy = (): AttemptOutcome | undefined => {
      const by = signal.reason === 'silence' ? callbacks.replacement() : undefined;
      return by === undefined ? undefined : { kind: 'replaced', by };
    };
    const factsOf = (code: number, headers: ResponseHeaders): ResponseFacts =>
      decodeResponseHead(this.#head.id, code, headers);
    // A connection that carries another request's response may stay one response behind, so it is closed, not reused.
    const isOwnResponse = (code: number, headers: ResponseHeaders): boolean => {
      const notice = decodeServerNotice(code, headers);
      if (notice !== undefined) callbacks.notice(notice);
      return !belongsToOtherRequest(factsOf(code, headers));
    };
    for await (const part of connections.send(
      grant.server,
      outgoing,
      cancellation,
      isOwnResponse,
    )) {
      switch (part.kind) {
        case 'head': {
          ({ status } = part);
          const responseClass = classifyResponse(factsOf(status, part.headers), {
            hasRelayedPart: this.#callerResponse.isOpen,
            mayRetry,
          });
          switch (responseClass.kind) {
            case 'accepted':
              run = answer.startRun(part);
              if (run === undefined) return this.#brokenAttempt('another kind of answer');
              // The head of a stream may come long before its first event; the prediction is for that event.
              if (route.kind !== 'streaming') {
                callbacks.progress(status);
                callbacks.wait();
              }
              break;
            case 'notRun':
              discard = { kind: 'notRun', status };
              callbacks.discard();
              break;
            case 'unusable':
              discard = this.#brokenAttempt(responseClass.detail);
              callbacks.discard();
              break;
          }
          break;
        }
        case 'bytes': {
          if (discard !== undefined) {
            discardedBytes += part.bytes.length;
            if (discardedBytes > maxDiscardBytes) return discard;
            break;
          }
          if (run === undefined) break;
          callbacks.progress(status);
          const result = await run.take(part.bytes);
          callbacks.wait();
          if (result.kind === 'unusable') return this.#brokenAttempt(result.detail);
          if (result.kind === 'handedOn') {
            this.#recordForwarding();
            if (route.kind === 'streaming' && this.dependencies.intake.isStanding)
              await this.dependencies.clock.sleep(coalescingTime, signal);
          }
          break;
        }
        case 'end': {
          if (discard !== undefined) return discard;
          if (run === undefined) return this.#brokenAttempt('no answer');
          const result = run.end();
          if (result.kind === 'unusable') return this.#brokenAttempt(result.detail);
          this.#recordForwarding();
          return { kind: 'delivered', status };
        }
        case 'failed':
          return this.#failedAttempt(part.failure, cancellation, discard ?? replacedBy());
        case 'events':
        case 'alive':
          // Not used: bodies are requested as bytes.
          break;
      }
    }
    return this.#failedAttempt(
      mayHaveRun('connectionLost', 'the connection ended'),
      cancellation,
      discard ?? replacedBy(),
    );
  }

  /** `known` is what the attempt came to before it failed. */
  #failedAttempt(
    { verdict, reason, detail }: Failure,
    { aborted, withdrawn }: Cancellation,
    known: AttemptOutcome | undefined,
  ): AttemptOutcome {
    if (known !== undefined) return known;
    const signal = verdict === 'notRun' && withdrawn.aborted ? withdrawn : aborted;
    if (signal.aborted) {
      const cause = signal.reason as AbortCause;
      return { kind: 'ended', cause };
    }
    if (reason === 'badRequest') return { kind: 'unsendable', detail };
    if (verdict === 'notRun') return { kind: 'unsent', detail };
    return this.#brokenAttempt(detail, reason === 'connectionLost');
  }

  #brokenAttempt(detail: string, isDisconnected = false): AttemptOutcome {
    return { kind: this.#callerResponse.isOpen ? 'cut' : 'failed', detail, isDisconnected };
  }

  #recordForwarding(): void {
    const now = this.dependencies.clock.now();
    this.#firstByte ??= now - this.#arrivedAt;
    this.#forwardedAt = now;
  }

  #reply(status: number, reason: string, headers: Readonly<Record<string, string>> = {}): void {
    // A connection cannot be reused after a body of which the rest is not read.
    this.#callerResponse.reply(status, reason, headers, this.#isPartlyRead);
  }

  /** Aborts at the deadline, on silence, and when the caller has left unless the request is non-idempotent and may run. */
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
    let point = this.dependencies.random() * total;
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
    this.dependencies.metrics.refusals.inc({ reason });
    if (this.#callerResponse.isOpen) {
      this.#fail(reason, 'notRun');
      return;
    }
    this.#reply(statuses.refused, reason, {
      [headerNames.retryAfter]: (retryAfter / 1_000).toFixed(2),
    });
    this.#finish('refused', reason);
  }

  /** Ends the request with a final response of this router other than a refusal. */
  #reject(status: number, reason: string): void {
    this.#reply(status, reason);
    this.#finish('rejected', reason);
  }

  /** Ends a request that may have run, or whose response was partly forwarded. */
  #fail(reason: string, verdict: Verdict): void {
    if (this.#callerResponse.isOpen) this.#callerResponse.abort();
    else this.#reply(reason === 'deadline' ? statuses.timeout : statuses.failed, reason);
    this.#finish('failed', reason, verdict);
  }

  #finish(outcome: RequestOutcome | 'rejected', reason?: string, verdict?: Verdict): void {
    const { clock, log, metrics, dispatcher, late, teamCounts } = this.dependencies;
    metrics.requests.inc({ outcome });
    if (this.#team !== undefined && outcome !== 'rejected')
      teamCounts.record(this.#team.name, outcome, this.#head.prompt);
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
      parts: this.#isDisconnected ? this.#head.prompt?.parts.map(({ id }) => id) : undefined,
      timeLeft: this.#head.timeLeft,
      first: round(this.#firstByte),
      took: Math.round(clock.now() - this.#arrivedAt),
      desired: dispatcher.table?.state.version,
      waiting: dispatcher.waiting,
      late: Math.round(late()),
      acceptWait: round(this.#acceptWait),
      reportAge: round(dispatcher.reportAge()),
      basis: basis === undefined ? undefined : roundBasis(basis),
      lacksBudget: this.#lacksBudget ? true : undefined,
      attempts: this.#attemptLog,
    });
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Whether a request of the route may run more than once. */
export function isRetriable(route: Route): boolean {
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

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}

function roundBasis({ server, start, limit, standing, received }: OverloadBasis): OverloadBasis {
  return {
    server,
    start: Math.round(start),
    limit: Math.round(limit),
    standing: Math.round(standing),
    received: Math.round(received),
  };
}

/** The host that selects the route. */
export function hostOf({ headers }: Pick<IncomingMessage, 'headers'>): string {
  return (headers.host ?? '').replace(/:\d+$/, '').toLowerCase();
}
