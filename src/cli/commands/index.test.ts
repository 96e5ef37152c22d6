import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { commands } from './index.js';

const page = readFileSync(
  new URL('../../../../docs/operators/commands.md', import.meta.url),
  'utf8',
);

describe('Commands of limpettrack', () => {
  const paths = commands
    .flatMap((command) => command.paths ?? [])
    .filter(([first]) => first !== undefined && !first.startsWith('-'))
    .map((path) => path.join(' '));

  paths.forEach((path) => {
    it(`guards against a command without an example in commands.md: ${path}`, () => {
      expect(page).to.contain(`$ limpettrack ${path}`);
    });
  });

  it('guards against two commands with the same path', () => {
    expect(new Set(paths).size).to.equal(paths.length);
  });
});
