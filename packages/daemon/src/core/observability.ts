/**
 * Monitoring routes of every daemon: `/metrics`, `/healthz` and `/readyz`.
 */
import * as links from '@azureworks/links';
import type * as runtime from '@azureworks/runtime';
import * as failureResponses from './failure-response';
import * as httpTask from './http-task';

const OK = 200;
const SERVICE_UNAVAILABLE = 503;

/** Adds the routes and the process metrics; `isReady` tells whether new work is accepted. */
export function addObservability(
  http: httpTask.HttpTask,
  sharedMetrics: runtime.Metrics,
  isReady: () => boolean,
): void {
  http.add('get', '/metrics', (_request, response) => {
    response.writeHead(OK, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(sharedMetrics.format());
  });
  http.add('get', '/healthz', (_request, response) => {
    failureResponses.sendJson(response, OK, { status: 'alive' });
  });
  http.add('get', '/readyz', (_request, response) => {
    const ready = isReady();
    const status = ready ? OK : SERVICE_UNAVAILABLE;
    failureResponses.sendJson(response, status, { status: ready ? 'ready' : 'not ready' });
  });
  const processMetrics: [string, () => number][] = [
    ['resident_bytes', () => process.memoryUsage().rss],
    ['control_sent_bytes', () => links.CONTROL_TRAFFIC.sentBytes],
    ['control_received_bytes', () => links.CONTROL_TRAFFIC.receivedBytes],
    ['control_sent_messages', () => links.CONTROL_TRAFFIC.sentMessages],
    ['control_received_messages', () => links.CONTROL_TRAFFIC.receivedMessages],
    ['processor_microseconds', () => process.cpuUsage().user + process.cpuUsage().system],
  ];
  processMetrics.forEach(([name, read]) => sharedMetrics.gauge(name, {}, read));
}
