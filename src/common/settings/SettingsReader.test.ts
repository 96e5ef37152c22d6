import { expect } from 'chai';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import {
  SettingsReader,
  address,
  bandwidth,
  count,
  duration,
  list,
  name,
  named,
  optional,
  required,
  share,
  single,
  size,
  withDefault,
} from './index.js';

const reader = new SettingsReader({
  daemon: single({
    admin: required(address()),
    peers: withDefault(list(address()), []),
    notice: withDefault(duration({ max: 60_000 }), 1_000),
  }),
  service: named({
    floor: required(count('slots')),
    link: optional(bandwidth()),
    body: optional(size()),
    retries: withDefault(share(0.1), 0.05),
    data: optional(name()),
  }),
});

function problemsOf(content: string): readonly string[] {
  const result = reader.read('x.ini', content);
  return isLeft(result) ? result.left.problems : [];
}

describe('SettingsReader', () => {
  it('converts each unit to the base unit with the right factor', () => {
    const result = reader.read(
      'x.ini',
      [
        '; comment',
        '[daemon]',
        'admin = 127.0.0.1:7000',
        'peers = 127.0.0.1:1, [::1]:2',
        'notice = 3 s',
        '[service lots.photos]',
        'floor = 24 slots',
        'link = 30 Mbit/s',
        'body = 64 KB',
        'retries = 10 %',
      ].join('\n'),
    );
    if (!isRight(result)) throw result.left;
    expect(result.right.daemon).to.deep.equal({
      admin: '127.0.0.1:7000',
      peers: ['127.0.0.1:1', '[::1]:2'],
      notice: 3_000,
    });
    expect(result.right.service.get('lots.photos')).to.deep.equal({
      floor: 24,
      link: 3_750_000,
      body: 65_536,
      retries: 0.1,
      data: undefined,
    });
  });

  const head = '[daemon]\nadmin = 127.0.0.1:7000\n';
  const cases = [
    {
      fault: 'an unknown key',
      line: 'colour = red',
      expected: /key "colour" is unknown; allowed: admin, peers, notice/,
    },
    {
      fault: 'a wrong unit',
      line: 'notice = 3 slots',
      expected: /"notice".*unit "slots" is wrong; allowed: a duration/,
    },
    { fault: 'a missing unit', line: 'notice = 3', expected: /"notice".*unit is missing/ },
    { fault: 'a value out of bounds', line: 'notice = 2 min', expected: /out of bounds/ },
    {
      fault: 'a unit named like an object member',
      line: 'notice = 3 constructor',
      expected: /unit "constructor" is wrong/,
    },
    { fault: 'a negative value', line: 'notice = -3 s', expected: /not a number with a unit/ },
    { fault: 'an empty value', line: 'notice =', expected: /not a number with a unit/ },
    {
      fault: 'a bad address in a list',
      line: 'peers = 127.0.0.1:1, nowhere',
      expected: /"nowhere": it is not host:port/,
    },
    {
      fault: 'a port that is too large',
      line: 'peers = 127.0.0.1:65536',
      expected: /port is too large/,
    },
    {
      fault: 'a key given twice',
      line: 'admin = 127.0.0.1:8',
      expected: /x\.ini:3: key "admin" is given twice/,
    },
    { fault: 'a line without a value', line: 'notice', expected: /x\.ini:3: "notice" is neither/ },
    {
      fault: 'an unknown section',
      line: '[deamon]',
      expected: /section \[deamon\] is unknown; allowed: \[daemon\], \[service NAME\]/,
    },
    {
      fault: 'a section without its name',
      line: '[service]\nfloor = 1 slots',
      expected: /needs a name: \[service NAME\]/,
    },
    {
      fault: 'a section given twice',
      line: '[daemon]',
      expected: /x\.ini:3: section \[daemon\] is given twice/,
    },
    {
      fault: 'a missing value',
      line: '[service a]',
      expected: /section \[service a\]: key "floor" is missing; allowed: a whole number/,
    },
    {
      fault: 'a share above its bound',
      line: '[service a]\nfloor = 1 slots\nretries = 11 %',
      expected: /"retries".*out of bounds; allowed: a share of at most 10 %/,
    },
    {
      fault: 'a part of a slot',
      line: '[service a]\nfloor = 1.5 slots',
      expected: /not a whole number/,
    },
  ];
  cases.forEach(({ fault, line, expected }) => {
    it(`reports ${fault}`, () => {
      const problems = problemsOf(`${head}${line}\n`);
      expect(problems).to.have.length(1);
      expect(problems[0]).to.match(expected);
    });
  });

  it('reports all errors of a file, not only the first', () => {
    expect(problemsOf('[daemon]\nnotice = 3\ncolour = red\n[service a]\n')).to.have.length(4);
  });

  it('reports a key before the first section, which the INI library would drop', () => {
    expect(problemsOf(`admin = 127.0.0.1:1\n${head}`)[0]).to.match(
      /stands before the first section/,
    );
  });
});
