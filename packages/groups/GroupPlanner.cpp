#include "groups/GroupPlanner.h"
