import { Command } from 'clipanion';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { formatTable } from '../table.js';
import { WatchCommand } from '../WatchCommand.js';

/** Shows the fleet as one daemon sees it. */
export class StatusCommand extends WatchCommand {
  public static override paths = [['status']];

  public static override usage = Command.Usage({
    category: 'Fleet',
    description: 'show the fleet as one daemon sees it',
    examples: [
      ['Once', '$0 status'],
      ['Every 5 s', '$0 status --watch --interval "5 s"'],
    ],
  });

  protected override async show(): Promise<ExitCode> {
    const status = await (await this.daemonClient()).status();
    const members = status.members.map(({ daemon, status: state, dataCentre, revision, admin }) => [
      daemon,
      state,
      dataCentre,
      String(revision),
      admin,
    ]);
    const services = status.services.map((service) => [
      service.service,
      String(service.targets),
      `${service.slotsInService} of ${service.slots}`,
      String(service.floor),
      service.slotsInService < service.floor ? 'BELOW FLOOR' : 'ok',
    ]);
    this.write(status, [
      `asked ${status.daemon} (${status.dataCentre}): preset ${status.preset || '(none)'}, revision ${status.revision}`,
      ...formatTable(['daemon', 'state', 'data centre', 'revision', 'admin'], members),
      '',
      ...formatTable(['service', 'targets', 'slots in service', 'floor', 'verdict'], services),
    ]);
    return exitCodes.done;
  }
}
