import { Command, Option } from 'clipanion';
import type { MemberReport, TargetReport } from '../../common/services/AdminTypes.js';
import { ChangeCommand } from '../ChangeCommand.js';
import { DaemonClient } from '../DaemonClient.js';
import { releaseTarget } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';

/** Puts a target back: ends an operator's hold, and asks its home to end an ejection or a suspicion. */
export class TargetRestoreCommand extends ChangeCommand {
  public static override paths = [['target', 'restore']];

  public static override usage = Command.Usage({
    category: 'Targets',
    description: 'put a target back into service',
    details: `
      Ends "target eject" and "target drain". If a daemon is given, the home of the target also ends an automatic
      ejection, which goes through trial traffic, or a suspicion.
    `,
    examples: [['Put a target back', '$0 target restore pujas-3']],
  });

  public id = Option.String();

  protected override async run(): Promise<ExitCode> {
    const code = await this.change({
      summary: `target restore ${this.id}`,
      edit: releaseTarget(this.id),
    });
    const { daemons } = await this.connections();
    if (code !== exitCodes.done || this.dryRun || daemons.length === 0) return code;
    return this.restoreAtHome();
  }

  private async restoreAtHome(): Promise<ExitCode> {
    const client = await this.daemonClient();
    const [targets, { members }] = [await client.targets(), await client.status()];
    const target = targets.find(({ id }) => id === this.id);
    if (target === undefined) {
      const message = `the daemon knows no target ${this.id}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    if (target.state !== 'ejected' && target.state !== 'suspect') return exitCodes.done;
    const { isKnown } = await TargetRestoreCommand.createHomeClient(target, members).restore(
      this.id,
    );
    if (isKnown) {
      this.writeToStderr(`home ${target.home} takes ${this.id} out of state ${target.state}`);
      return exitCodes.done;
    }
    const message = `${target.home} is no longer the home of ${this.id}; run the command again`;
    return this.refuse({ exitCode: exitCodes.notFound, message });
  }

  private static createHomeClient(
    { home }: TargetReport,
    members: readonly MemberReport[],
  ): DaemonClient {
    const admin = members.find(({ daemon }) => daemon === home)?.admin ?? '';
    return new DaemonClient(admin === '' ? [] : [admin]);
  }
}
