/**
 * What a daemon may use of its VM: memory of open work, and descriptors.
 */
import type * as configuration from '@azureworks/configuration';
import * as intake from '@azureworks/intake';
import type * as runtime from '@azureworks/runtime';
import * as bodies from './body';

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** What Node.js tells of the limits of its process. */
interface ProcessReport {
  readonly userLimits?: { readonly open_files?: { readonly soft: number | 'unlimited' } };
}

/** What the system allows; read once, as a report takes long when many sockets are open. */
let allowedDescriptors: number | undefined;

/** Descriptors that a daemon uses: as many as its settings say, and not more than the system allows. */
function readMaximumDescriptors({
  maximum_descriptors: configured,
}: configuration.DaemonSettings): number {
  if (allowedDescriptors === undefined) {
    const report = process.report.getReport() as ProcessReport;
    const softLimit = Number(report.userLimits?.open_files?.soft);
    allowedDescriptors = Number.isFinite(softLimit) ? softLimit : Number.POSITIVE_INFINITY;
  }
  return Math.min(configured, allowedDescriptors);
}

/** Creates the bounds of the requests of a daemon. */
export function createBodies(
  settings: configuration.DaemonSettings,
  log: runtime.Log,
  metrics: runtime.Metrics,
): bodies.Bodies {
  return bodies.Bodies.create({
    memory: intake.MemoryBudget.create(settings.work_memory_mb * BYTES_PER_MEGABYTE),
    maximumDescriptors: readMaximumDescriptors(settings),
    log,
    metrics,
  });
}

/** The limit of connections on the control port, which other daemons use. */
export function createControlLimit(
  settings: configuration.DaemonSettings,
  log: runtime.Log,
  metrics: runtime.Metrics,
): intake.SocketLimitOptions {
  return {
    maximumConnections: intake.computePeerConnectionLimit(readMaximumDescriptors(settings)),
    listener: 'control',
    log,
    metrics,
  };
}
