import { startupSnapshot } from 'node:v8';

import runProgram from './runProgram';

if (startupSnapshot.isBuildingSnapshot()) startupSnapshot.setDeserializeMainFunction(runProgram);
else runProgram();
