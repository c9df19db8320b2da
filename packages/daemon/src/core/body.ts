/**
 * Reads request bodies within a limit.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import type * as zod from 'zod';

type BodyResult<T> = Promise<neverthrow.Result<T, decisions.Failure>>;

/** Reads a whole body; fails with `body-too-large` beyond `limitBytes`. */
export function readBody(request: http.IncomingMessage, limitBytes: number): BodyResult<Buffer> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limitBytes) chunks.push(chunk);
    });
    request.on('end', () => {
      if (size > limitBytes) resolve(failTooLarge(limitBytes));
      else resolve(neverthrow.ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    });
    request.on('error', (error) => {
      resolve(
        neverthrow.err(decisions.createFailure('invalid-request', { detail: error.message })),
      );
    });
  });
}

/** Reads a JSON body and checks it against a schema. */
export async function readJson<T>(
  request: http.IncomingMessage,
  limitBytes: number,
  schema: zod.ZodType<T>,
): BodyResult<T> {
  const body = await readBody(request, limitBytes);
  return body.andThen((bytes) => parseJson(bytes, schema));
}

/** Parses JSON and checks it against a schema. */
export function parseJson<T>(
  bytes: Buffer,
  schema: zod.ZodType<T>,
): neverthrow.Result<T, decisions.Failure> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return neverthrow.err(decisions.createFailure('malformed-json'));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const [issue] = parsed.error.issues;
  const detail = `${issue.path.join('.')}: ${issue.message}`;
  return neverthrow.err(decisions.createFailure('invalid-request', { detail }));
}

function failTooLarge(limitBytes: number): neverthrow.Err<never, decisions.Failure> {
  const detail = `at most ${limitBytes} bytes`;
  return neverthrow.err(decisions.createFailure('body-too-large', { detail }));
}
