/**
 * Reads INI files into sections and merges them in the order of their names. Each value remembers
 * the file it came from, so that an error can name it.
 */
import * as ini from 'ini';

/** The contents of INI files by name. */
export type Files = Readonly<Record<string, string>>;

/** A value and the file that gave it. */
export interface SourcedValue {
  readonly file: string;
  readonly value: string;
}

/** A merged section: its title, the first file that opened it and its values by key. */
export interface Section {
  readonly title: string;
  readonly file: string;
  readonly values: Map<string, SourcedValue>;
}

/** The title of the section that holds keys written above the first section header. */
export const TOP_LEVEL_TITLE = '';

/** Merges files in the order of their names: a later value of the same key replaces an earlier one. */
export function mergeFiles(files: Files): Map<string, Section> {
  const sections = new Map<string, Section>();
  Object.keys(files)
    .sort()
    .forEach((file) => mergeFile(sections, file, files[file]));
  return sections;
}

function mergeFile(sections: Map<string, Section>, file: string, text: string): void {
  Object.entries(ini.parse(escapeTitles(text))).forEach(([title, content]) => {
    if (typeof content === 'object' && content !== null && !Array.isArray(content)) {
      const section = openSection(sections, title, file);
      Object.entries(content).forEach(([key, value]) => {
        section.values.set(key, { file, value: toText(value) });
      });
      return;
    }
    const section = openSection(sections, TOP_LEVEL_TITLE, file);
    section.values.set(title, { file, value: toText(content) });
  });
}

function openSection(sections: Map<string, Section>, title: string, file: string): Section {
  const existing = sections.get(title);
  if (existing) return existing;
  const section: Section = { title, file, values: new Map() };
  sections.set(title, section);
  return section;
}

/** Keeps the parser from splitting a section title at its dots. */
function escapeTitles(text: string): string {
  return text.replace(
    /^\s*\[([^\]]*)\]/gm,
    (_match, title: string) => `[${title.replace(/(?<!\\)\./g, '\\.')}]`,
  );
}

function toText(value: unknown): string {
  if (Array.isArray(value)) return value.map(toText).join(', ');
  if (typeof value === 'object' && value !== null) return JSON.stringify(value);
  return String(value).trim();
}
