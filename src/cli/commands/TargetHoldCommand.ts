import { Command, Option } from 'clipanion';
import type { HoldDocument } from '../../common/configuration/Types.js';
import { slotsInService } from '../../common/services/slotsInService.js';
import { ChangeCommand } from '../ChangeCommand.js';
import { holdTarget } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';

/** Takes a target out of service until it is restored. */
export class TargetHoldCommand extends ChangeCommand {
  public static override paths = [
    ['target', 'eject'],
    ['target', 'drain'],
  ];

  public static override usage = Command.Usage({
    category: 'Targets',
    description: 'take a target out of service: at once for new work, or as a drain',
    details: `
      No request in flight is cut. If a daemon is given, a hold that takes the service below its floor is refused
      unless --below-floor is given. "target restore" undoes it.
    `,
    examples: [['Eject a target', '$0 target eject pujas-3']],
  });

  public id = Option.String();

  public belowFloor = Option.Boolean('--below-floor', false, {
    description: 'accept a capacity below the floor',
  });

  protected override async run(): Promise<ExitCode> {
    const refusal = this.belowFloor ? undefined : await this.checkFloor();
    if (refusal !== undefined) {
      return this.refuse({ exitCode: exitCodes.invalid, message: refusal });
    }
    const action = this.path[1] as HoldDocument['action'];
    const { author } = await this.connections();
    return this.change({
      summary: `target ${action} ${this.id}`,
      undo: `target restore ${this.id}`,
      edit: holdTarget({ target: this.id, action, author }),
    });
  }

  private async checkFloor(): Promise<string | undefined> {
    if ((await this.connections()).daemons.length === 0) {
      this.writeToStderr('the floor was not checked, because no daemon was given');
      return undefined;
    }
    const client = await this.daemonClient();
    const [targets, { services }] = [await client.targets(), await client.status()];
    const target = targets.find(({ id }) => id === this.id);
    if (target === undefined)
      return `the daemon knows no target ${this.id}; --below-floor skips this`;
    const floor = services.find(({ service }) => service === target.service)?.floor ?? 0;
    const others = targets.filter(
      ({ id, service }) => service === target.service && id !== this.id,
    );
    const remaining = slotsInService(others);
    if (remaining >= floor) return undefined;
    return `service ${target.service} would have ${remaining} slots in service, its floor is ${floor}; --below-floor accepts that`;
  }
}
