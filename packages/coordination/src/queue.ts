// Requests of one team wait here for a permit, in order of arrival within their class.

import type { Failure, Milliseconds, ServerName, WorkClass } from '@catkinwheel/state';
import type { Result } from 'neverthrow';
import type { PermitHandle, PermitRequest } from './ports.js';

/** Of the permits of a team with both classes waiting, every fourth goes to batch work. */
const batchTurn = 4;

/** How many waiting requests are looked at to find one that does not avoid the server. */
const avoidLookahead = 8;

/** A request that waits, and a link of its class's list. */
export interface Waiter {
  readonly work: PermitRequest;
  readonly deadline: Milliseconds;
  /** Ends the wait with a permit or a refusal. */
  readonly settle: (result: Result<PermitHandle, Failure>) => void;
  previous: Waiter | undefined;
  next: Waiter | undefined;
  /** Whether the request is still in its queue. */
  queued: boolean;
}

class Fifo {
  head: Waiter | undefined;
  #tail: Waiter | undefined;
  size = 0;

  /** Inserts by time of first arrival; a retry is older than most, so the search starts at the head. */
  insert(waiter: Waiter): void {
    const arrived = waiter.work.arrived;
    let next: Waiter | undefined;
    if (this.#tail !== undefined && this.#tail.work.arrived > arrived) {
      next = this.head;
      while (next !== undefined && next.work.arrived <= arrived) next = next.next;
    }
    const previous = next === undefined ? this.#tail : next.previous;
    waiter.previous = previous;
    waiter.next = next;
    if (previous === undefined) this.head = waiter;
    else previous.next = waiter;
    if (next === undefined) this.#tail = waiter;
    else next.previous = waiter;
    waiter.queued = true;
    this.size += 1;
  }

  remove(waiter: Waiter): void {
    if (waiter.previous === undefined) this.head = waiter.next;
    else waiter.previous.next = waiter.next;
    if (waiter.next === undefined) this.#tail = waiter.previous;
    else waiter.next.previous = waiter.previous;
    waiter.previous = undefined;
    waiter.next = undefined;
    waiter.queued = false;
    this.size -= 1;
  }
}

/** Waiting requests of one team for one service. All operations but `insert` take constant time. */
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

  /** Arrival of the request that has waited longest. */
  oldest(): Milliseconds | undefined {
    const interactive = this.#classes.interactive.head?.work.arrived;
    const batch = this.#classes.batch.head?.work.arrived;
    if (interactive === undefined || batch === undefined) return interactive ?? batch;
    return Math.min(interactive, batch);
  }

  insert(waiter: Waiter): void {
    this.#classOf(waiter).insert(waiter);
  }

  /** Takes a request out, for example because its caller is gone. */
  remove(waiter: Waiter): void {
    if (waiter.queued) this.#classOf(waiter).remove(waiter);
  }

  /** The request that the next permit goes to. */
  peek(): Waiter | undefined {
    return this.#classes[this.#nextClass()].head;
  }

  /**
   * Takes the request that a permit of `server` goes to. A request that avoids the server lets one
   * behind it pass, but takes the permit if none of those does without it.
   */
  take(server: ServerName): Waiter | undefined {
    const workClass = this.#nextClass();
    const queue = this.#classes[workClass];
    const waiter = firstWilling(queue.head, server) ?? queue.head;
    if (waiter === undefined) return undefined;
    this.#interactiveInRow =
      workClass === 'interactive' && this.#classes.batch.size > 0 ? this.#interactiveInRow + 1 : 0;
    queue.remove(waiter);
    return waiter;
  }

  #classOf({ work }: Waiter): Fifo {
    return this.#classes[this.#unclassed ? 'interactive' : work.class];
  }

  #nextClass(): WorkClass {
    const { interactive, batch } = this.#classes;
    if (interactive.size === 0) return 'batch';
    if (batch.size === 0) return 'interactive';
    return this.#interactiveInRow >= batchTurn - 1 ? 'batch' : 'interactive';
  }
}

function firstWilling(head: Waiter | undefined, server: ServerName): Waiter | undefined {
  let waiter = head;
  for (let seen = 0; waiter !== undefined && seen < avoidLookahead; seen += 1) {
    if (!waiter.work.avoidedServers.includes(server)) return waiter;
    waiter = waiter.next;
  }
  return undefined;
}
