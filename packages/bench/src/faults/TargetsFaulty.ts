import type Fault from '../Fault';
import type Fleet from '../Fleet';
import type TargetFault from '../TargetFault';

/** Gives one of every N targets a fault from the start of the run. */
export default class TargetsFaulty implements Fault {
  readonly name: string;

  constructor(private readonly fault: TargetFault, private readonly every: number) {
    this.name = `${fault}, 1 of ${every}`;
  }

  start(fleet: Fleet): void {
    fleet.targets
      .filter((_target, index) => index % this.every === 0)
      .forEach((target) => Object.assign(target, { fault: this.fault }));
  }
}
