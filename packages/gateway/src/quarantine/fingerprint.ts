/**
 * Identifies a request across its repetitions: by its content and its caller, not by the attempt.
 */
import * as crypto from 'node:crypto';
import type * as replicas from '../types/replica';

const FINGERPRINT_BYTES = 16;

/**
 * Computes the fingerprint of a request.
 * @param callerHeaders lower-case names of the headers that identify a caller
 */
export function computeFingerprint(
  { method, host, target, headers, body, organisation }: replicas.ReplicaRequest,
  callerHeaders: ReadonlySet<string>,
): string {
  const caller: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = (headers[index] ?? '').toLowerCase();
    if (callerHeaders.has(name)) caller.push(`${name}:${headers[index + 1]}`);
  }
  if (organisation) caller.push(`organisation:${organisation}`);
  const head = JSON.stringify([method, host.toLowerCase(), target, ...caller.sort()]);
  const digest = crypto.createHash('sha256').update(head).update(body).digest('hex');
  return digest.slice(0, 2 * FINGERPRINT_BYTES);
}
