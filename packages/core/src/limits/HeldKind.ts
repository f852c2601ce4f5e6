/** What the bytes of a process are held for. */
type HeldKind = 'connections' | 'requests' | 'bodies' | 'waitingBodies' | 'responses' | 'calls';

export default HeldKind;
