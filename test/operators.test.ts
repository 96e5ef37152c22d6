import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { OperatorFleet } from './OperatorFleet.js';

interface ChecklistRow {
  readonly symptom: string;
  readonly command: string;
  /** Text that the output contains. */
  readonly expected: string;
  readonly undo: string | undefined;
}

/** Arguments of a documented command, without the program name; quoted words form one argument. */
function splitCommand(command: string): string[] {
  const words = command.match(/(?:[^\s"]|"[^"]*")+/g) ?? [];
  return words.slice(1).map((word) => word.replaceAll('"', ''));
}

/** Parses the table rows of the checklist. Of each cell only the first text in backticks is used. */
function parseChecklist(): ChecklistRow[] {
  const file = new URL('../../docs/operators/checklist.md', import.meta.url);
  const quoted = (cell: string | undefined): string | undefined =>
    /`([^`]+)`/.exec(cell ?? '')?.[1];
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.includes('| `limpettrack '))
    .map((line) => {
      const [, symptom = '', command, expected, undo] = line.split('|').map((cell) => cell.trim());
      return {
        symptom,
        command: quoted(command) ?? '',
        expected: quoted(expected) ?? '',
        undo: quoted(undo),
      };
    });
}

/** Runs the real binaries: store, daemons, targets and `limpettrack`. */
describe('limpettrack against a fleet', () => {
  const fleet = new OperatorFleet();

  before(() => fleet.start());
  after(() => fleet.stop());
  beforeEach(() => fleet.setFaults({}));

  // The checklist rows run first, because they expect the unchanged initial configuration.
  parseChecklist().forEach(({ symptom, command, expected, undo }) => {
    it(`gives the output that the checklist documents: ${symptom}`, async () => {
      const { code, output } = await fleet.run(...splitCommand(command));
      expect(output).to.contain(expected);
      expect(code).to.equal(0);
      if (undo === undefined) return;
      const undoResult = await fleet.run(...splitCommand(undo));
      expect(undoResult.code, undoResult.output).to.equal(0);
    });
  });

  async function revision(): Promise<number> {
    const { output } = await fleet.run('revision', 'list', '--json');
    return (JSON.parse(output) as { revision: number }[])[0]?.revision ?? 0;
  }

  it('applies a preset switch and its undo on all daemons', async () => {
    expect((await fleet.run('preset', 'switch', 'peak')).code).to.equal(0);
    await fleet.runUntil(['preset', 'status'], ({ output }) =>
      /preset peak at revision[^]*in force on 2 of 2 daemons/.test(output),
    );
    expect((await fleet.run('preset', 'undo')).code).to.equal(0);
    await fleet.runUntil(['preset', 'status'], ({ output }) =>
      /preset ordinary at revision[^]*in force on 2 of 2 daemons/.test(output),
    );
  });

  it('rejects the second of two concurrent changes to the same revision', async () => {
    const base = String(await revision());
    const results = await Promise.all(
      ['ana', 'ben'].map((author, index) =>
        fleet.run(
          ...['service', 'change', 'pujas', `timeout=${index + 3} s`],
          ...['--base', base, '--author', author],
        ),
      ),
    );
    expect(results.map(({ code }) => code).sort()).to.deep.equal([0, 2]);
    const rejectedOutput = results.find(({ code }) => code === 2)?.output ?? '';
    expect(rejectedOutput).to.match(
      /your change is NOT in[^]*timeout: 2000 -> [34]000[^]*timeout: 2000 -> [34]000/,
    );
    expect(await revision()).to.equal(Number(base) + 1);
  });

  it('reports success and writes once when the response of the store is lost', async () => {
    const before = await revision();
    await fleet.setFaults({ loseAnswers: 1 });
    const { code, output } = await fleet.run('preset', 'switch', 'peak');
    expect(code).to.equal(0);
    expect(output).to.match(/the change is in/);
    expect(await revision()).to.equal(before + 1);
  });

  it('reports an unknown outcome when a partition hides whether a change was applied', async () => {
    const before = await revision();
    await fleet.setFaults({ slow: 500 });
    const command = fleet.run('preset', 'switch', 'maintenance', '--author', 'cut');
    while ((await fleet.countWrites('operator cut')) === 0);
    await fleet.setFaults({ cut: 'answers', cutClients: ['operator cut'] });
    const { code, output } = await command;
    expect(code, output).to.equal(3);
    await fleet.setFaults({});
    expect((await fleet.run('revision', 'show', String(before + 1))).output).to.match(/by cut/);
  });

  it('reports that nothing was changed during an outage of the store', async () => {
    const before = await revision();
    await fleet.setFaults({ down: true });
    const { code, output } = await fleet.run('preset', 'switch', 'peak');
    expect(output).to.match(/nothing was changed/);
    expect(code).to.equal(69);
    await fleet.setFaults({});
    expect(await revision()).to.equal(before);
  });

  it('refuses to eject a target below the floor of its service without --below-floor', async () => {
    expect((await fleet.run('target', 'eject', 'pujas-1')).code).to.equal(0);
    await fleet.run('target', 'restore', 'pujas-1');
    await fleet.run('service', 'change', 'pujas', 'floor=6 slots');
    await fleet.runUntil(['status'], ({ output }) => /pujas +2 +10 of 10 +6/.test(output));
    const refused = await fleet.run('target', 'eject', 'pujas-1');
    expect(refused.output).to.match(/5 slots in service, its floor is 6/);
    expect(refused.code).to.equal(65);
    expect((await fleet.run('target', 'eject', 'pujas-1', '--below-floor')).code).to.equal(0);
    expect((await fleet.run('target', 'restore', 'pujas-1')).code).to.equal(0);
  });

  const invalidCommands = [
    {
      name: 'an unknown preset',
      args: ['preset', 'switch', 'none'],
      code: 4,
      text: /no preset none/,
    },
    {
      name: 'an unknown revision',
      args: ['revision', 'show', '999'],
      code: 4,
      text: /not in the history/,
    },
    { name: 'an unknown command', args: ['preset', 'swich'], code: 64, text: /Command not found/ },
    {
      name: 'a wrong duration',
      args: ['pause', 'retries', '--for', '3'],
      code: 64,
      text: /unit is missing/,
    },
    {
      name: 'a pause that is too long',
      args: ['pause', 'retries', '--for', '25 h'],
      code: 64,
      text: /out of bounds/,
    },
    {
      name: 'an unknown service',
      args: ['pause', 'retries', '--service', 'x'],
      code: 65,
      text: /must be the name of a service/,
    },
    { name: 'a missing file', args: ['preset', 'check', 'none.ini'], code: 78, text: /none\.ini/ },
  ];
  invalidCommands.forEach(({ name, args, code, text }) => {
    it(`rejects ${name} with a non-zero exit code`, async () => {
      const result = await fleet.run(...args);
      expect(result.output).to.match(text);
      expect(result.code).to.equal(code);
    });
  });

  it('reports all errors of an invalid INI file, not only the first', async () => {
    const file = fleet.write('bad.ini', '[preset p]\ncolour = red\n[account a]\nrate = 5\n');
    const { code, output } = await fleet.run('preset', 'write', file);
    expect(code).to.equal(78);
    expect(output.trim().split('\n')).to.have.length(3);
  });
});
