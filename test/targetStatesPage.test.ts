import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import {
  metricNames,
  refusalMessage,
  stateCatalogue,
  transitionMessage,
} from '../src/common/ejection/StateCatalogue.js';

const page = readFileSync(
  new URL('../../docs/operators/target-states.md', import.meta.url),
  'utf8',
);

/** Section of the page that describes a state, without its heading. */
function sectionOf(state: string): string {
  const [, rest = ''] = page.split(`### \`${state}\`\n`);
  return rest.split('\n## ')[0]?.split('\n### ')[0] ?? '';
}

describe('docs/operators/target-states.md', () => {
  stateCatalogue.forEach(({ state, meaning, entered, left, reversal, traffic, next }) => {
    it(`describes ${state} as in the state catalogue`, () => {
      const lines = [
        `Meaning: ${meaning}`,
        `Entered: ${entered}`,
        `Left: ${left}`,
        `Reversed by: ${reversal}`,
        `Traffic: ${traffic}`,
        `Can be followed by: ${next.map((name) => `\`${name}\``).join(', ')}`,
        `Log line: \`${transitionMessage}\` with \`to=${state}\``,
        `Metric: \`${metricNames.states}{state="${state}"}\``,
      ];
      const section = sectionOf(state);
      expect(lines.filter((line) => !section.includes(`- ${line}\n`))).to.deep.equal([]);
    });
  });

  it('lists exactly the states of the state catalogue', () => {
    const headings = [...page.matchAll(/^### `(\w+)`$/gm)].map((match) => match[1]);
    expect(headings).to.deep.equal(stateCatalogue.map(({ state }) => state));
  });

  it('names the log messages and metrics of the state catalogue', () => {
    [refusalMessage, ...Object.values(metricNames)].forEach((name) =>
      expect(page).to.include(name),
    );
  });
});
