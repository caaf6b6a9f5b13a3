#include "routing/GroupChooser.h"
