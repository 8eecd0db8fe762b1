// Queues the requests of one team that wait for a permit, in order of arrival within their class.

import type { Failure, Milliseconds, ServerName, WorkClass } from '@catkinwheel/state';
import type { Result } from 'neverthrow';
import type { PermitHandle, PermitRequest } from './ports.js';

/** While both classes are queued, every fourth permit of the team goes to batch work. */
const batchShareInterval = 4;

/** Maximum number of queued requests checked for one that does not avoid the server. */
const maxAvoidLookahead = 8;

/** A queued request, which is also a node in the linked list of its class. */
export interface Waiter {
  readonly request: PermitRequest;
  readonly deadline: Milliseconds;
  /** Ends the wait with a permit or a refusal. */
  readonly settle: (result: Result<PermitHandle, Failure>) => void;
  previous: Waiter | undefined;
  next: Waiter | undefined;
  /** Whether the request is still in its queue. */
  isQueued: boolean;
}

class Fifo {
  head: Waiter | undefined;
  #tail: Waiter | undefined;
  size = 0;

  /** Inserts by time of first arrival; a retry is older than most, so the search starts at the head. */
  insert(waiter: Waiter): void {
    const arrived = waiter.request.arrived;
    let next: Waiter | undefined;
    if (this.#tail !== undefined && this.#tail.request.arrived > arrived) {
      next = this.head;
      while (next !== undefined && next.request.arrived <= arrived) next = next.next;
    }
    const previous = next === undefined ? this.#tail : next.previous;
    waiter.previous = previous;
    waiter.next = next;
    if (previous === undefined) this.head = waiter;
    else previous.next = waiter;
    if (next === undefined) this.#tail = waiter;
    else next.previous = waiter;
    waiter.isQueued = true;
    this.size += 1;
  }

  remove(waiter: Waiter): void {
    if (waiter.previous === undefined) this.head = waiter.next;
    else waiter.previous.next = waiter.next;
    if (waiter.next === undefined) this.#tail = waiter.previous;
    else waiter.next.previous = waiter.previous;
    waiter.previous = undefined;
    waiter.next = undefined;
    waiter.isQueued = false;
    this.size -= 1;
  }
}

/** Queued requests of one team for one service. All operations except `insert` take constant time. */
export class TeamQueue {
  readonly #classes = { interactive: new Fifo(), batch: new Fifo() };
  #interactiveInRow = 0;

  readonly #unclassed: boolean;

  private constructor(unclassed: boolean) {
    this.#unclassed = unclassed;
  }

  static create(): TeamQueue {
    return new TeamQueue(false);
  }

  /** A queue that serves all classes in order of arrival. */
  static unclassed(): TeamQueue {
    return new TeamQueue(true);
  }

  get size(): number {
    return this.#classes.interactive.size + this.#classes.batch.size;
  }

  count(workClass: WorkClass): number {
    return this.#classes[workClass].size;
  }

  /** Arrival of the oldest request. */
  oldest(): Milliseconds | undefined {
    const interactive = this.#classes.interactive.head?.request.arrived;
    const batch = this.#classes.batch.head?.request.arrived;
    if (interactive === undefined || batch === undefined) return interactive ?? batch;
    return Math.min(interactive, batch);
  }

  insert(waiter: Waiter): void {
    this.#classOf(waiter).insert(waiter);
  }

  /** Removes a request, for example because its caller disconnected. */
  remove(waiter: Waiter): void {
    if (waiter.isQueued) this.#classOf(waiter).remove(waiter);
  }

  /** The request that gets the next permit. */
  peek(): Waiter | undefined {
    return this.#classes[this.#nextClass()].head;
  }

  /**
   * Removes the request that gets a permit of `server`: the first one that does not avoid the server, or
   * the head if all of the next ones avoid it.
   */
  take(server: ServerName): Waiter | undefined {
    const workClass = this.#nextClass();
    const queue = this.#classes[workClass];
    const waiter = firstNotAvoiding(queue.head, server) ?? queue.head;
    if (waiter === undefined) return undefined;
    this.#interactiveInRow =
      workClass === 'interactive' && this.#classes.batch.size > 0 ? this.#interactiveInRow + 1 : 0;
    queue.remove(waiter);
    return waiter;
  }

  #classOf({ request }: Waiter): Fifo {
    return this.#classes[this.#unclassed ? 'interactive' : request.class];
  }

  #nextClass(): WorkClass {
    const { interactive, batch } = this.#classes;
    if (interactive.size === 0) return 'batch';
    if (batch.size === 0) return 'interactive';
    return this.#interactiveInRow >= batchShareInterval - 1 ? 'batch' : 'interactive';
  }
}

function firstNotAvoiding(head: Waiter | undefined, server: ServerName): Waiter | undefined {
  let waiter = head;
  for (let seen = 0; waiter !== undefined && seen < maxAvoidLookahead; seen += 1) {
    if (!waiter.request.avoidedServers.includes(server)) return waiter;
    waiter = waiter.next;
  }
  return undefined;
}
