import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as stream from 'node:stream';
import * as runtime from '@azureworks/runtime';

class SlowReader extends stream.Writable {
  readonly lines: string[] = [];

  private isStuck = true;

  private completeWrite: (() => void) | undefined;

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: () => void): void {
    this.lines.push(chunk.toString());
    if (this.isStuck) this.completeWrite = done;
    else done();
  }

  release(): void {
    this.isStuck = false;
    this.completeWrite?.();
  }
}

describe('output of log lines', () => {
  it('drops lines while the reader is stuck, then reports how many', async () => {
    const reader = new SlowReader({ highWaterMark: 10 });
    let nowMs = 0;
    const output = runtime.LineOutput.create(reader, () => nowMs);
    const line = `${'x'.repeat(2000)}\n`;
    for (let count = 0; count < 1500; count += 1) output.writable.write(line);
    expect(output.droppedLineCount).toBeGreaterThan(900);
    reader.release();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    nowMs += 1000;
    output.writable.write('last\n');
    const report = reader.lines.find((text) => text.includes('left out')) ?? '';
    expect(JSON.parse(report)).toMatchObject({ count: output.droppedLineCount });
    expect(reader.lines[reader.lines.length - 1]).toBe('last\n');
  });

  it('limits the lines per second', () => {
    const reader = new SlowReader();
    reader.release();
    let nowMs = 0;
    const output = runtime.LineOutput.create(reader, () => nowMs);
    for (let count = 0; count < 5000; count += 1) output.writable.write('line\n');
    expect(output.droppedLineCount).toBe(3000);
    nowMs += 1000;
    for (let count = 0; count < 1000; count += 1) output.writable.write('line\n');
    expect(output.droppedLineCount).toBe(3500);
  });

  it('keeps the process running after its standard output is closed', async () => {
    const script = `
      require('@swc/core');
      const { transformFileSync } = require('@swc/core');
      const fs = require('fs');
      const Module = require('module');
      Module._extensions['.ts'] = (module, file) => {
        const options = { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'commonjs' } };
        module._compile(transformFileSync(file, options).code, file);
      };
      const { JsonLog } = require(${JSON.stringify(path.resolve(__dirname, '../src/index.ts'))});
      const log = JsonLog.create('info', 'test');
      let count = 0;
      setInterval(() => {
        log.info('line', { count });
        count += 1;
        if (count === 60) {
          process.stderr.write('alive ' + (log.droppedLineCount > 0));
          process.exit(0);
        }
      }, 10);`;
    const child = childProcess.spawn(process.execPath, ['-e', script], {
      cwd: path.resolve(__dirname, '../../..'),
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let text = '';
    child.stderr.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    child.stdout.once('data', () => child.stdout.destroy());
    const code = await new Promise((resolve) => {
      child.on('close', resolve);
    });
    expect({ code, text }).toEqual({ code: 0, text: 'alive true' });
  });
});
