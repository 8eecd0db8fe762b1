// Operators want to know when a team waits too long, once when it begins and once when it ends.

import type { Milliseconds, TeamName } from '@catkinwheel/state';
import type { CatalogueView, EventLog, Metrics } from './ports.js';

interface AlarmOptions {
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
}

/** Alarms for teams whose oldest wait has passed their `waitAlarm`. */
export class WaitAlarms {
  readonly #options: AlarmOptions;
  readonly #raised = new Set<TeamName>();

  private constructor(options: AlarmOptions) {
    this.#options = options;
  }

  static create(options: AlarmOptions): WaitAlarms {
    return new WaitAlarms(options);
  }

  /** Compares the oldest wait of every waiting team with its limit. */
  check(oldest: ReadonlyMap<TeamName, Milliseconds>): void {
    const { teams } = this.#options.catalogue.current();
    for (const [team, wait] of oldest) {
      const limit = teams[team]?.waitAlarm ?? Infinity;
      if (wait > limit && !this.#raised.has(team)) this.#raise(team, wait);
    }
    for (const team of this.#raised) {
      const wait = oldest.get(team) ?? 0;
      if (wait <= (teams[team]?.waitAlarm ?? Infinity)) this.#clear(team);
    }
  }

  #raise(team: TeamName, wait: Milliseconds): void {
    this.#raised.add(team);
    this.#options.metrics.count('team.waitAlarm', { team });
    this.#options.eventLog.record('team.waitAlarm', { team, state: 'raised', oldestWaitMs: wait });
  }

  #clear(team: TeamName): void {
    this.#raised.delete(team);
    this.#options.eventLog.record('team.waitAlarm', { team, state: 'cleared' });
  }
}
