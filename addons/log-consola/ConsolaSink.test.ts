import { expect } from 'chai';
import type { LogLine } from '../../src/api/index.js';
import { ConsolaSink } from './ConsolaSink.js';

const line: LogLine = {
  level: 'info',
  kind: 'route',
  message: 'answered 200',
  fields: { target: 't1', reason: 'least-wait', peer: undefined },
};

function capture(action: () => void): string {
  const { write } = process.stdout;
  let text = '';
  process.stdout.write = (chunk: string) => {
    text += chunk;
    return true;
  };
  try {
    action();
  } finally {
    process.stdout.write = write;
  }
  return text;
}

describe('ConsolaSink', () => {
  it('writes JSON with every field when the output is not a terminal, so that the log can be searched', () => {
    const entry = JSON.parse(capture(() => new ConsolaSink('info', false).write(line))) as object;
    expect(entry).to.include({
      level: 'info',
      kind: 'route',
      message: 'answered 200',
      target: 't1',
    });
  });

  it('writes one readable line on a terminal, without absent fields', () => {
    const text = capture(() => new ConsolaSink('info', true).write(line));
    expect(text).to.match(/info +route answered 200 target=t1 reason=least-wait\n$/);
  });

  it('drops lines below the configured level', () => {
    expect(capture(() => new ConsolaSink('warn', false).write(line))).to.equal('');
  });
});
