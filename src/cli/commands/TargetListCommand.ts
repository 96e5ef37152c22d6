import { Command, Option } from 'clipanion';
import type { TargetReport } from '../../common/services/AdminTypes.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { formatTable } from '../table.js';
import { WatchCommand } from '../WatchCommand.js';

/** Lists the targets with their states and the reasons. */
export class TargetListCommand extends WatchCommand {
  public static override paths = [['target', 'list']];

  public static override usage = Command.Usage({
    category: 'Targets',
    description: 'list each target with its state and why',
    examples: [
      ['All targets of a service', '$0 target list --service pujas'],
      ['Repeat until interrupted', '$0 target list --watch'],
    ],
  });

  public service = Option.String('--service', { description: 'only targets of this service' });

  public state = Option.String('--state', { description: 'only targets in this state' });

  protected override async show(): Promise<ExitCode> {
    const all = await (await this.daemonClient()).targets();
    const targets = all
      .filter(
        ({ service, state }) =>
          service === (this.service ?? service) && state === (this.state ?? state),
      )
      .sort((one, other) => one.id.localeCompare(other.id, 'en', { numeric: true }));
    const rows = targets.map((target) => TargetListCommand.toRow(target));
    const header = ['target', 'service', 'state', 'share', 'slots', 'home', 'data centre', 'why'];
    this.write(targets, formatTable(header, rows));
    return exitCodes.done;
  }

  private static toRow(target: TargetReport): string[] {
    const { id, service, state, share, slots, home, dataCentre, why } = target;
    return [
      id,
      service,
      state,
      `${Math.round(share * 100)} %`,
      String(slots),
      home,
      dataCentre,
      why,
    ];
  }
}
