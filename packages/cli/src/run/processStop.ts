import StopSignal from './StopSignal';

/** The stop of this process. Its handlers are installed before anything else is loaded. */
const processStop = new StopSignal();

export default processStop;
