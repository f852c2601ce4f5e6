import type TargetChooser from '@guavayard/core/choice/TargetChooser';
import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type Locality from '@guavayard/core/routing/Locality';
import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

/** What the request path reads and uses of the rest of the entry. */
interface EntryView {
  readonly locality: Locality;
  readonly chooser: TargetChooser;
  readonly sender: TargetSender;
  /** @returns the configuration in force, or undefined before the first one */
  configuration: () => VersionedConfiguration | undefined;
  /** @returns the live targets of a service */
  targetsOf: (service: string) => readonly TargetAnnouncement[];
}

export default EntryView;
