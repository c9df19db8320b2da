/**
 * Validates merged sections against a schema. Reports all errors, not only the first.
 */
import type * as zod from 'zod';
import type * as settingErrors from '../types/setting-error';
import * as nearest from '../utils/nearest';
import * as iniFiles from './ini-files';

/** The schema of one kind of section: a field type for each key. */
export type SectionShape = Readonly<Record<string, zod.ZodType>>;

/** The syntax of one kind of section. */
export interface SectionKind {
  /** Whether its title contains a name, as in `[engine saran-lm]`. */
  readonly isNamed: boolean;
  readonly shape: SectionShape;
}

/** A valid section with its typed values. */
export interface CheckedSection {
  readonly kind: string;
  readonly name: string;
  readonly file: string;
  readonly values: Readonly<Record<string, unknown>>;
}

/** The result of a check: the valid sections and the errors of all others. */
export interface CheckResult {
  readonly sections: CheckedSection[];
  readonly errors: settingErrors.SettingError[];
}

const NAME_PATTERN = /^[\w-]+$/;

/** Checks merged sections; `kinds` maps the first word of a section title to its schema. */
export function checkSections(
  merged: ReadonlyMap<string, iniFiles.Section>,
  kinds: Readonly<Record<string, SectionKind>>,
): CheckResult {
  const result: CheckResult = { sections: [], errors: [] };
  merged.forEach((section) => checkSection(section, kinds, result));
  return result;
}

function checkSection(
  section: iniFiles.Section,
  kinds: Readonly<Record<string, SectionKind>>,
  result: CheckResult,
): void {
  const [kindName, ...rest] = section.title.split(/\s+/);
  const sectionName = rest.join(' ');
  const titleError = checkTitle(section, kinds, kindName, sectionName);
  if (titleError) {
    result.errors.push(titleError);
    return;
  }
  const { shape } = kinds[kindName];
  const errors = [...findUnknownKeys(section, shape)];
  const values: Record<string, unknown> = {};
  Object.entries(shape).forEach(([key, field]) => {
    const sourced = section.values.get(key);
    const parsed = field.safeParse(sourced?.value);
    if (parsed.success) values[key] = parsed.data;
    else errors.push(createValueError(section, key, sourced, parsed.error));
  });
  result.errors.push(...errors);
  if (errors.length > 0) return;
  result.sections.push({ kind: kindName, name: sectionName, file: section.file, values });
}

function checkTitle(
  section: iniFiles.Section,
  kinds: Readonly<Record<string, SectionKind>>,
  kindName: string,
  sectionName: string,
): settingErrors.SettingError | undefined {
  const { file, title } = section;
  if (!Object.hasOwn(kinds, kindName)) {
    const known = Object.keys(kinds);
    const expected = `a section; the nearest known one is "${nearest.findNearestWord(kindName, known)}"`;
    return { file, key: `[${title}]`, seen: title, expected };
  }
  const { isNamed } = kinds[kindName];
  if (isNamed && !NAME_PATTERN.test(sectionName)) {
    return { file, key: `[${title}]`, seen: title, expected: `[${kindName} NAME]` };
  }
  if (!isNamed && sectionName !== '') {
    return { file, key: `[${title}]`, seen: title, expected: `[${kindName}]` };
  }
  return undefined;
}

function* findUnknownKeys(
  section: iniFiles.Section,
  shape: SectionShape,
): Generator<settingErrors.SettingError> {
  const known = Object.keys(shape);
  const unknown = [...section.values].filter(([key]) => !Object.hasOwn(shape, key));
  yield* unknown.map(([key, sourced]) => ({
    file: sourced.file,
    key: `${section.title} / ${key}`,
    seen: sourced.value,
    expected: `a known key; the nearest is "${nearest.findNearestWord(key, known)}"`,
  }));
}

function createValueError(
  section: iniFiles.Section,
  key: string,
  sourced: iniFiles.SourcedValue | undefined,
  error: zod.ZodError,
): settingErrors.SettingError {
  return {
    file: sourced?.file ?? section.file,
    key: `${section.title} / ${key}`,
    seen: sourced?.value,
    expected: sourced ? error.issues[0].message : 'a value',
  };
}
