import type Locality from '../routing/Locality';

/** An entry as a possible owner of targets. */
interface Member extends Locality {
  readonly name: string;
}

export default Member;
