/**
 * Parses INI files into sections and merges them in the order of the file names. Each value is stored
 * with the name of its file, so that an error message can include it.
 */
import * as ini from 'ini';

/** The contents of INI files by file name. */
export type IniFiles = Readonly<Record<string, string>>;

/** A value and the name of the file that set it. */
export interface SourcedValue {
  readonly file: string;
  readonly value: string;
}

/** A merged section: its title, the first file that contains it and its values by key. */
export interface Section {
  readonly title: string;
  readonly file: string;
  readonly values: Map<string, SourcedValue>;
}

/** The title of the section for keys above the first section header of a file. */
export const TOP_LEVEL_TITLE = '';

/** Merges files in the order of their names; a later value of a key replaces an earlier one. */
export function mergeFiles(files: IniFiles): Map<string, Section> {
  const sections = new Map<string, Section>();
  Object.keys(files)
    .sort()
    .forEach((file) => mergeFile(sections, file, files[file]));
  return sections;
}

function mergeFile(sections: Map<string, Section>, file: string, text: string): void {
  Object.entries(ini.parse(escapeTitleDots(text))).forEach(([title, content]) => {
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

/** Escapes the dots in section titles; the parser would read them as nested sections. */
function escapeTitleDots(text: string): string {
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
