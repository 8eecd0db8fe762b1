// Counters and histograms of one router in the Prometheus text format.

import type { Activity, WorkTimes } from '@catkinwheel/coordination/routing';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of latency buckets in seconds: from a plain response to the longest stream. */
const latencyBuckets = [0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16];
/** Upper bounds of buckets for the error of predicted first-token times in seconds; below 0: predicted too late. */
const errorBuckets = [-0.8, -0.4, -0.2, -0.1, 0, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/** All metrics of a process. */
export class Metrics {
  readonly registry = new Registry();
  readonly requests = new Counter({
    name: 'catkinwheel_requests_total',
    help: 'Requests that ended, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  readonly repeats = new Counter({
    name: 'catkinwheel_repeats_total',
    help: 'Requests sent to a second server, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  readonly refusals = new Counter({
    name: 'catkinwheel_refusals_total',
    help: 'Requests refused by this router, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  readonly faults = new Counter({
    name: 'catkinwheel_faults_total',
    help: 'Exceptions inside the router, by what it was doing.',
    labelNames: ['activity'],
    registers: [this.registry],
  });
  readonly storeCalls = new Counter({
    name: 'catkinwheel_store_calls_total',
    help: 'Calls of the store, by table and result.',
    labelNames: ['table', 'result'],
    registers: [this.registry],
  });
  readonly latency = new Histogram({
    name: 'catkinwheel_answer_seconds',
    help: 'Time from arrival to the first byte of the answer.',
    labelNames: ['kind'],
    buckets: latencyBuckets,
    registers: [this.registry],
  });
  readonly waiting = new Histogram({
    name: 'catkinwheel_wait_seconds',
    help: 'Time from arrival until a server was found.',
    buckets: latencyBuckets,
    registers: [this.registry],
  });
  readonly predictionError = new Histogram({
    name: 'catkinwheel_prediction_error_seconds',
    help: 'Observed less predicted time to the first event.',
    buckets: errorBuckets,
    registers: [this.registry],
  });
  readonly underWay = new Gauge({
    name: 'catkinwheel_requests_under_way',
    help: 'Requests that have arrived and not ended.',
    registers: [this.registry],
  });
  readonly members = new Gauge({
    name: 'catkinwheel_routers_heard',
    help: 'Other routers heard lately.',
    registers: [this.registry],
  });
  readonly late = new Gauge({
    name: 'catkinwheel_late_seconds',
    help: 'How much later than due this process did its periodic work lately.',
    registers: [this.registry],
  });
  readonly logLinesLost = new Gauge({
    name: 'catkinwheel_log_lines_lost',
    help: 'Log lines that were not written since the start.',
    registers: [this.registry],
  });
  readonly #work = new Gauge({
    name: 'catkinwheel_work_seconds',
    help: 'Time of the event loop since the start, by activity; the rest is relaying and input and output.',
    labelNames: ['activity'],
    registers: [this.registry],
  });

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Metrics {
    return new Metrics();
  }

  setWork(times: WorkTimes): void {
    for (const [activity, time] of Object.entries(times) as [Activity, number][])
      this.#work.set({ activity }, time / 1_000);
  }
}
