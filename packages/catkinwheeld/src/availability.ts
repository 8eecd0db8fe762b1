// Decides whether this router accepts new requests, and which routers it lists for callers.

import type { MemberView, Session } from '@catkinwheel/coordination';
import type { Catalogue, Failure, Milliseconds, Router } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';

/** Time after which a caller that this router refused should retry. */
const retryAfter: Milliseconds = 1_000;

/** A router that callers may use. */
export interface RouterAddress {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

export interface AvailabilityDependencies {
  readonly members: MemberView;
  readonly session: Session;
  readonly catalogue: { current(): Catalogue };
}

/** Whether this router accepts new requests. */
export class Availability {
  readonly #dependencies: AvailabilityDependencies;
  #isClosed = false;

  private constructor(dependencies: AvailabilityDependencies) {
    this.#dependencies = dependencies;
  }

  static create(dependencies: AvailabilityDependencies): Availability {
    return new Availability(dependencies);
  }

  /** Refuses all new requests from now on, because the router is stopping. */
  close(): void {
    this.#isClosed = true;
  }

  /** Why new requests are refused; undefined if they are accepted. */
  refusal(): Failure | undefined {
    if (this.#isClosed) {
      return notRun('leaving', 'this router is stopping; use another one', retryAfter);
    }
    if (this.#dependencies.catalogue.current().revision === 0) {
      return notRun('noCatalogue', 'this router has no catalogue yet', retryAfter);
    }
    if (this.#isIsolated()) {
      return notRun('isolated', 'this router reaches neither platform nor peers', retryAfter);
    }
    return undefined;
  }

  /**
   * Routers that accept requests. Routers on a drained VM or in a drained data centre are listed only
   * if there are no others, because a caller that gets an empty list cannot be served at all.
   */
  routers(): readonly RouterAddress[] {
    const { members, catalogue } = this.#dependencies;
    const { drain } = catalogue.current();
    const accepting = members.alive().filter(({ name }) => !members.isLeaving(name));
    const notDrained = accepting.filter(
      ({ vm, dataCentre }) => !drain.vms.includes(vm) && !drain.dataCentres.includes(dataCentre),
    );
    return (notDrained.length > 0 ? notDrained : accepting).map(addressOf);
  }

  /** Whether neither the platform nor any other registered router is reachable; never if there is no other. */
  #isIsolated(): boolean {
    const { members, session } = this.#dependencies;
    if (session.isHeld() || members.alive().length > 1) return false;
    return session.sessionRows().some(({ router }) => router !== members.self.name);
  }
}

function addressOf({ name, address, dataCentre }: Router): RouterAddress {
  return { name, address, dataCentre };
}
