import type Locality from '../routing/Locality';

/** Entry that is eligible as an owner of targets. */
interface Member extends Locality {
  readonly name: string;
}

export default Member;
