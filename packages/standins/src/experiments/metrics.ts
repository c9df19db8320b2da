/**
 * Reads the metrics that a daemon exposes at `/metrics`.
 */
import * as undici from 'undici';

/** Fetches the metrics of a daemon; the result looks up a value by name, 0 if it is missing. */
export async function readMetrics(url: string): Promise<(name: string) => number> {
  const response = await undici.request(`${url}/metrics`);
  const text = await response.body.text();
  return (name) => Number(new RegExp(`^azureworks_${name} (.+)$`, 'm').exec(text)?.[1] ?? 0);
}
