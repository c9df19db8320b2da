/**
 * The form in which a batch job's items are stored: a JSON array, cut into rows.
 */
import * as values from '../store/json-value';
import type * as jobs from '../types/batch-job';
import * as records from './job-record';

interface StoredScoring {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly body: string;
}

/** An item as it is stored. */
export type StoredItem = Omit<jobs.Item, 'body' | 'scoring'> & {
  readonly body: string;
  readonly scoring?: StoredScoring;
};

/** Whether a gateway can have stored a value as an item. */
export function isStoredItem(value: unknown): value is StoredItem {
  const fields = values.getFields(value);
  const { id, path, headers, body, group, model, tokens, scoring } = fields;
  const { expectedOutputTokens, maximumOutputTokens } = fields;
  return (
    [id, path, body, group, model].every(values.isText) &&
    values.isTextList(headers) &&
    [tokens, expectedOutputTokens ?? null, maximumOutputTokens ?? null].every(
      records.isNumberOrNull,
    ) &&
    (scoring === undefined || isStoredScoring(scoring))
  );
}

function isStoredScoring(value: unknown): value is StoredScoring {
  const { id, host, path, body } = values.getFields(value);
  return [id, host, path, body].every(values.isText);
}

/** Encodes an item. */
export function encodeItem(item: jobs.Item): StoredItem {
  const { scoring, ...rest } = item;
  return {
    ...rest,
    body: item.body.toString('base64'),
    ...(scoring ? { scoring: { ...scoring, body: scoring.body.toString('base64') } } : {}),
  };
}

/** Decodes an item. */
export function decodeItem(stored: StoredItem): jobs.Item {
  const { scoring } = stored;
  return {
    ...stored,
    expectedOutputTokens: stored.expectedOutputTokens ?? undefined,
    maximumOutputTokens: stored.maximumOutputTokens ?? undefined,
    body: Buffer.from(stored.body, 'base64'),
    scoring: scoring ? { ...scoring, body: Buffer.from(scoring.body, 'base64') } : undefined,
  };
}
