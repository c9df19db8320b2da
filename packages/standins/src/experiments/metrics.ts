/**
 * Reads what a daemon shows at `/metrics`.
 */
import * as undici from 'undici';

/** Reads the metrics of a daemon; the result looks a value up by name, 0 when there is none. */
export async function readMetrics(url: string): Promise<(name: string) => number> {
  const response = await undici.request(`${url}/metrics`);
  const text = await response.body.text();
  return (name) => Number(new RegExp(`^azureworks_${name} (.+)$`, 'm').exec(text)?.[1] ?? 0);
}
