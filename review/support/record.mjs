/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// Collects what was sent, answered and run, and writes it to a file.
import * as fs from 'node:fs';

export class Record {
  lines = [];

  startMs = performance.now();

  static create(file) {
    const record = new Record();
    record.file = file;
    return record;
  }

  /** Adds a line with the time since the start. */
  add(text, atMs = performance.now()) {
    this.lines.push({ atMs, text });
  }

  format(atMs) {
    return ((atMs - this.startMs) / 1000).toFixed(3);
  }

  write(verdict) {
    this.lines.sort((first, second) => first.atMs - second.atMs);
    const text = this.lines.map(
      ({ atMs, text: line }) => `${this.format(atMs).padStart(8)} ${line}`,
    );
    fs.writeFileSync(this.file, [...text, '', verdict, ''].join('\n'));
    console.log(verdict);
  }
}
