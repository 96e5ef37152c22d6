import { Command } from 'clipanion';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';

/** Shows which preset is in force and on how many daemons. */
export class PresetStatusCommand extends OperatorCommand {
  public static override paths = [['preset', 'status']];

  public static override usage = Command.Usage({
    category: 'Presets',
    description: 'show which preset is in force and on how many daemons',
    details:
      'Asks a daemon; with a store address also tells whether the store has a newer revision.',
    examples: [['Check that a switch has reached all daemons', '$0 preset status']],
  });

  protected override async run(): Promise<ExitCode> {
    const status = await (await this.daemonClient()).status();
    const { store } = await this.connections();
    const stored =
      store.length === 0 ? undefined : (await (await this.openEditor()).read()).configuration;
    const newest = Math.max(status.revision, ...status.members.map(({ revision }) => revision));
    const expected = stored?.revision ?? newest;
    const behind = status.members.filter(({ revision }) => revision < expected);
    const report = {
      preset: status.preset,
      revision: status.revision,
      stored:
        stored === undefined ? undefined : { preset: stored.preset, revision: stored.revision },
      daemons: status.members.length,
      inForce: status.members.length - behind.length,
      behind: behind.map(({ daemon, revision }) => ({ daemon, revision })),
    };
    this.write(report, [
      `preset ${status.preset || '(none)'} at revision ${status.revision} on daemon ${status.daemon}`,
      ...(stored === undefined
        ? []
        : [`the store has preset ${stored.preset || '(none)'} at revision ${stored.revision}`]),
      `revision ${expected} is in force on ${report.inForce} of ${report.daemons} daemons`,
      ...behind.map(({ daemon, revision }) => `  ${daemon} is at revision ${revision}`),
    ]);
    return exitCodes.done;
  }
}
