import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import { formatPreset, readConfigurationFile } from './ConfigurationFile.js';
import type { ConfigurationDraft } from './ConfigurationFile.js';
import { emptyContent } from '../common/configuration/emptyContent.js';
import { applyDraft } from './edits.js';
import { checkPresets, compareLimits } from './presetCheck.js';

function parse(content: string): ConfigurationDraft {
  const result = readConfigurationFile('x.ini', content);
  if (isRight(result)) return result.right;
  throw result.left;
}

function warningsOf(draft: ConfigurationDraft): string[] {
  const edited = applyDraft(draft)(emptyContent);
  if (isLeft(edited)) throw new Error(edited.left.message);
  const presets = draft.presets.map(({ name }) => name);
  return checkPresets(edited.right, presets, draft.capacities).map(({ message }) => message);
}

const service = (limits: string): string => `
[service s]
${limits}
retry-share = 5 %
cross-region-rate = 1 Mbit/s
[capacity s]
targets = 4
slots = 5 slots
service-time = 100 ms
[preset ordinary]
reason = test
`;
const route = '[route r]\nservice = s\npath = /s\nclass = bulk\n';
const validLimits =
  'floor = 15 slots\nmax-queue = 10 requests\ntimeout = 1 s\nrate = 200 requests/s';

describe('checkPresets', () => {
  const cases = [
    { fault: 'a valid preset', text: service(validLimits) + route, expected: undefined },
    {
      fault: 'a floor above all slots',
      text: service(validLimits.replace('15', '21')) + route,
      expected: /floor of 21 slots cannot hold: the service has 20 slots/,
    },
    {
      fault: 'a floor that no ejection can keep',
      text: service(validLimits.replace('15', '16')) + route,
      expected: /no target can ever be ejected/,
    },
    {
      fault: 'a floor of 0',
      text: service(validLimits.replace('15', '0')) + route,
      expected: /floor of 0 slots/,
    },
    {
      fault: 'a rate above the slots',
      text: service(validLimits.replace('200', '201')) + route,
      expected: /201 requests\/s is above the 200 requests\/s/,
    },
    {
      fault: 'a queue that waits longer than the timeout',
      text: service(validLimits.replace('10 requests', '51 requests')) + route,
      expected: /last of 51 waiting requests starts after 1020 ms/,
    },
    {
      fault: 'a service without a route',
      text: service(validLimits),
      expected: /no route leads to it/,
    },
    {
      fault: 'a floor above all slots in the limits of a preset',
      text: `${service(validLimits)}${route}[limits ordinary s]\nfloor = 30 slots\n`,
      expected: /floor of 30 slots cannot hold/,
    },
    {
      fault: 'an unknown capacity',
      text: `${service(validLimits).replace(/\[capacity[^[]*/, '')}${route}`,
      expected: /capacity is not known/,
    },
  ];
  cases.forEach(({ fault, text, expected }) => {
    it(`guards against a missing or wrong warning about ${fault}`, () => {
      const warnings = warningsOf(parse(text));
      expect(warnings).to.have.length(expected === undefined ? 0 : 1);
      if (expected !== undefined) expect(warnings[0]).to.match(expected);
    });
  });

  it('guards against a comparison that omits a changed limit or lists an equal one', () => {
    const text = `${service(validLimits)}[preset peak]\nreason = p\n[limits peak s]\nfloor = 10 slots\ntimeout = 1 s\n`;
    const edited = applyDraft(parse(text))(emptyContent);
    if (isLeft(edited)) throw new Error(edited.left.message);
    expect(compareLimits(edited.right, 'ordinary', 'peak')).to.deep.equal([
      { property: 's.floor', before: 15, after: 10 },
    ]);
  });
});

describe('ConfigurationFile', () => {
  const cases = [
    {
      fault: 'limits of an unknown preset',
      text: '[limits peak s]\nfloor = 1 slots\n',
      expected: /section \[limits peak s\] is wrong; allowed: \[limits PRESET SERVICE\]/,
    },
    {
      fault: 'an upper-case name',
      text: '[account A]\nrate = 1 requests/s\n',
      expected: /\[account A\]: "A" is not a name/,
    },
    {
      fault: 'a route without a class',
      text: '[route r]\nservice = s\npath = /s\n',
      expected: /\[route r\]: key "class" is missing; allowed: one of critical/,
    },
    {
      fault: 'a rate without a unit',
      text: '[account a]\nrate = 5\n',
      expected: /"5": the unit is missing; allowed: a rate such as 200 requests\/s/,
    },
  ];
  cases.forEach(({ fault, text, expected }) => {
    it(`guards against accepting ${fault}`, () => {
      const result = readConfigurationFile('x.ini', text);
      const problems = isLeft(result) ? result.left.problems : [];
      expect(problems).to.have.length(1);
      expect(problems[0]).to.match(expected);
    });
  });

  ['auction', 'plant'].forEach((deployment) => {
    const file = new URL(`../../../examples/${deployment}/configuration.ini`, import.meta.url);
    const draft = parse(readFileSync(file, 'utf8'));

    it(`guards against an example configuration with warnings: ${deployment}`, () => {
      expect(warningsOf(draft)).to.deep.equal([]);
    });

    draft.presets.forEach((preset) => {
      it(`guards against a preset that is formatted and read back differently: ${deployment} ${preset.name}`, () => {
        const reread = parse(formatPreset({ ...preset, reason: 'a; b # c' }, 7));
        expect(reread.presets).to.deep.equal([{ ...preset, reason: 'a; b # c' }]);
        expect(reread.base).to.equal(7);
      });
    });
  });
});
