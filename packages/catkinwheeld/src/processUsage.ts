// Reports CPU and heap usage of the process, so that the overhead of the control plane can be measured.

import type { Metrics } from '@catkinwheel/coordination';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { standardError } from '@catkinwheel/transport/lineOutput';

const samplePeriod: Milliseconds = 1_000;
const bytesPerMegabyte = 1_048_576;
const microsecondsPerMillisecond = 1_000;

/**
 * Sets `process.cpu` (CPU time divided by elapsed time over the last second; 1 is one full core, so several threads may
 * exceed 1), `process.cpuMs` (total CPU time in milliseconds), `process.heapMb` (used heap in MiB) and `log.linesLost` (log lines
 * that were not written since the start) once per second.
 */
export async function reportUsage(
  clock: Clock,
  metrics: Metrics,
  signal: AbortSignal,
): Promise<void> {
  let usage = process.cpuUsage();
  let previous = clock.now();
  for await (const now of clock.every(samplePeriod, signal)) {
    const spent = process.cpuUsage(usage);
    const elapsed = (now - previous) * microsecondsPerMillisecond;
    if (elapsed > 0) metrics.gauge('process.cpu', (spent.user + spent.system) / elapsed);
    usage = process.cpuUsage();
    previous = now;
    metrics.gauge('process.cpuMs', (usage.user + usage.system) / microsecondsPerMillisecond);
    metrics.gauge('process.heapMb', process.memoryUsage().heapUsed / bytesPerMegabyte);
    metrics.gauge('log.linesLost', standardError.lost);
  }
}
